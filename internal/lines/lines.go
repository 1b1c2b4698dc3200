// Package lines writes log lines without ever blocking their writer, and bounds
// how many there are.
package lines

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

// maxPending bounds the lines that wait to be written, in bytes: about 300 of
// the longest lines.
const maxPending = 64 << 10

// Writer hands what is written to another writer on a goroutine of its own.
// What does not fit is dropped and counted. Create it with New.
type Writer struct {
	mu      sync.Mutex
	pending bytes.Buffer
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// New starts a writer in front of another one.
func New(out io.Writer) *Writer {
	w := &Writer{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks on the writer behind and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	fits := w.pending.Len()+len(line) <= maxPending
	if fits {
		w.pending.Write(line)
	}
	w.mu.Unlock()
	if !fits {
		w.dropped.Add(1)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped counts the lines that did not fit.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends the goroutine. Nothing may be written
// after it.
func (w *Writer) Close() {
	close(w.wake)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var spare bytes.Buffer
	for range w.wake {
		w.flush(out, &spare)
	}
	w.flush(out, &spare)
}

func (w *Writer) flush(out io.Writer, spare *bytes.Buffer) {
	w.mu.Lock()
	w.pending, *spare = *spare, w.pending
	w.mu.Unlock()
	if _, err := out.Write(spare.Bytes()); err != nil {
		w.dropped.Add(uint64(bytes.Count(spare.Bytes(), []byte("\n"))))
	}
	spare.Reset()
}

// Limit lets a bounded number of lines pass. Set the exported fields before the
// first call. It is not safe for concurrent use.
type Limit struct {
	PerSecond int // lines on average
	Burst     int // lines at once

	tokens     float64
	at         clock.Millis
	suppressed int
}

// Allow reports whether a line may be written now. If lines were suppressed
// before it, their number is returned with it.
func (l *Limit) Allow(now clock.Millis) (ok bool, suppressed int) {
	if l.at == 0 {
		l.tokens, l.at = float64(l.Burst), now
	}
	l.tokens = min(float64(l.Burst), l.tokens+float64(now-l.at)*float64(l.PerSecond)/float64(clock.Second))
	l.at = now
	if l.tokens < 1 {
		l.suppressed++
		return false, 0
	}
	l.tokens--
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
