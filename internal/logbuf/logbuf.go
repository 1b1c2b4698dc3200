// Package logbuf writes log lines without blocking the caller, and limits their rate.
package logbuf

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

// maxPending is the number of bytes that can wait to be written: about 300 of the
// longest lines.
const maxPending = 64 << 10

// Writer is an asynchronous writer of log lines: a goroutine writes them to another
// writer. Lines that do not fit into its buffer are dropped and counted. Create it with
// New.
type Writer struct {
	mu            sync.Mutex
	pending       bytes.Buffer
	closed        bool // Close has been called
	flushRequests chan struct{}
	done          chan struct{}
	dropped       atomic.Uint64
}

// New returns a Writer to out and starts its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{flushRequests: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line, or drops it. It does not wait for the underlying writer and
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.pending.Len()+len(line) > maxPending {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending.Write(line)
	select {
	case w.flushRequests <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit or could not be written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and ends the goroutine. Lines that are written later are
// dropped: goroutines of a process that ends may still log.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.flushRequests)
	<-w.done
}

// run writes queued lines until Close.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var spare bytes.Buffer
	for range w.flushRequests {
		w.flush(out, &spare)
	}
	w.flush(out, &spare)
}

// flush writes the queued lines. It swaps the buffers so that Write can go on meanwhile.
func (w *Writer) flush(out io.Writer, spare *bytes.Buffer) {
	w.mu.Lock()
	w.pending, *spare = *spare, w.pending
	w.mu.Unlock()
	if _, err := out.Write(spare.Bytes()); err != nil {
		w.dropped.Add(uint64(bytes.Count(spare.Bytes(), []byte("\n"))))
	}
	spare.Reset()
}

// Limiter limits the rate of log lines by a token bucket. Set the exported fields before
// the first call. It is not safe for concurrent use.
type Limiter struct {
	PerSecond int // lines a second on average
	Burst     int // lines at once

	tokens     float64
	updatedAt  clock.Millis
	suppressed int
}

// Allow reports whether a line may be written now, and returns the number of lines that
// were suppressed since the last one allowed.
func (l *Limiter) Allow(now clock.Millis) (ok bool, suppressed int) {
	if l.updatedAt == 0 {
		l.tokens, l.updatedAt = float64(l.Burst), now
	}
	l.tokens = min(float64(l.Burst), l.tokens+float64(now-l.updatedAt)*float64(l.PerSecond)/float64(clock.Second))
	l.updatedAt = now
	if l.tokens < 1 {
		l.suppressed++
		return false, 0
	}
	l.tokens--
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
