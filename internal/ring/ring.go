// Package ring provides a bounded queue between goroutines that drops new items when it
// is full.
package ring

import "sync/atomic"

// Queue is a bounded first-in first-out queue, safe for concurrent use. Create it with
// New.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty queue that holds up to size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// Put adds an item. If the queue is full, it drops the item and returns false.
func (q *Queue[T]) Put(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which items are received, oldest first.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Dropped returns the number of items dropped because the queue was full.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
