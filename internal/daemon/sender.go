package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/outbound"
	"agatehaven.dev/agatehaven/internal/peer"
)

// newSender delivers raft messages by peer calls.
func newSender(dialer peer.Dialer, log zerolog.Logger) *outbound.Sender {
	return outbound.New(func(ctx context.Context, host, group string, messages [][]byte) error {
		h, err := dialer.Dial(host)
		if err != nil {
			return err
		}
		_, err = h.Step(ctx, &peer.StepRequest{Group: group, Messages: messages[0], More: messages[1:]})
		return err
	}, 0, log)
}
