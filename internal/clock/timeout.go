package clock

import (
	"context"
	"time"
)

// WithTimeout returns a context that is cancelled with the given cause once d has
// passed on clock c, or when the parent ends. The context has no deadline, since
// the injected clock may differ from the system clock. The returned function must
// be called to release the goroutine.
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
