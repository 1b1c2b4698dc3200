package logbuf_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"dogwoodlanding.example/dogwood/internal/logbuf"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := logbuf.New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 1000 {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, w.Dropped() > 800)
	close(out.release)
	w.Close()
	assert.Equal(t, uint64(out.written.Len()/1024), 1000-w.Dropped())
}

func TestLimiterReturnsNumberOfSuppressedLines(t *testing.T) {
	l := logbuf.Limiter{PerSecond: 10, Burst: 3}
	passed := 0
	for range 10 {
		if ok, _ := l.Allow(1000); ok {
			passed++
		}
	}
	assert.Equal(t, passed, 3)
	ok, suppressed := l.Allow(1100)
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, 7)
}

// A goroutine that logged while its process ended wrote to a closed channel, and the
// process ended with a panic.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	w := logbuf.New(&out)
	_, err := w.Write([]byte("before\n"))
	assert.NilError(t, err)
	w.Close()
	_, err = w.Write([]byte("after\n"))
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "before\n")
	assert.Equal(t, w.Dropped(), uint64(1))
}
