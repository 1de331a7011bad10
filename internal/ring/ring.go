// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Ring is a bounded first-in, first-out queue. It is safe for any number of
// producers and consumers.
type Ring[T any] struct {
	name  string
	items chan T
}

// New returns a ring that holds at most size items. The name appears in the
// error that TryPut returns for a full ring.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, size)}
}

// TryPut adds an item without blocking. It returns *fault.LimitExceeded if the
// ring is full.
func (r *Ring[T]) TryPut(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		return &fault.LimitExceeded{What: r.name, Limit: int64(cap(r.items))}
	}
}

// Put adds an item. It blocks while the ring is full and returns ctx.Err() if
// ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel that consumers receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Drain removes and returns up to limit buffered items without blocking.
func (r *Ring[T]) Drain(limit int) []T {
	var out []T
	for len(out) < limit {
		select {
		case item := <-r.items:
			out = append(out, item)
		default:
			return out
		}
	}
	return out
}

// Len returns the number of buffered items.
func (r *Ring[T]) Len() int { return len(r.items) }
