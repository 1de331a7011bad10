package replica

import (
	"context"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
)

// Proposer is the part of Group that ProposeCommand needs.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// ProposeCommand encodes cmd, proposes it and returns the state machine's
// result, which must be of type R. Its errors are those of Propose. A refusal
// by the state machine is part of the result, not an error.
func ProposeCommand[R any](ctx context.Context, p Proposer, cmd any) (R, error) {
	var none R
	data, err := codec.Marshal(cmd)
	if err != nil {
		return none, err
	}
	applied, err := p.Propose(ctx, data)
	if err != nil {
		return none, err
	}
	result, ok := applied.(R)
	if !ok {
		return none, &fault.Invalid{Field: "result", Reason: "unexpected type from the state machine"}
	}
	return result, nil
}
