package clock

import (
	"context"
	"time"
)

// WithTimeout returns a context that ends with the given cause once d has
// passed on clock c, or when the parent ends. The context has no deadline of
// its own, since the injected clock need not follow the system clock. The
// caller must call the returned function to release its goroutine.
func WithTimeout(parent context.Context, c Clock, d time.Duration, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := c.After(d)
	go func() {
		select {
		case <-timer:
			cancel(cause)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
