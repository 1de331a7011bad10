// Package ring provides the bounded ring buffer that joins the goroutines of
// a process.
package ring

import (
	"context"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Ring is a bounded first-in, first-out buffer between goroutines. It is safe
// for any number of producers and consumers.
type Ring[T any] struct {
	name  string
	items chan T
}

// New returns a ring that holds at most size items. The name appears in the
// error of a full ring.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, size)}
}

// TryPut adds an item without waiting. It returns *fault.LimitExceeded if the
// ring is full.
func (r *Ring[T]) TryPut(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		return &fault.LimitExceeded{What: r.name, Limit: int64(cap(r.items))}
	}
}

// Put adds an item and waits for space until ctx ends.
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

// Drain removes and returns up to limit buffered items without waiting.
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
