package control

import (
	"context"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/peer"
)

// HostCommand commits an operator's order for a host. The inventory refuses a
// planned removal that would break the pool's floor.
func (c *Controller) HostCommand(ctx context.Context, r *peer.HostCommandRequest) (*peer.HostCommandResponse, error) {
	var cmd inventory.Command
	switch r.Action {
	case peer.HostDrain:
		cmd.Drain = &inventory.Drain{Host: r.Host, Actor: r.Operator, Reason: r.Reason}
	case peer.HostMove:
		cmd.Drain = &inventory.Drain{Host: r.Host, MoveTo: r.ToPool, Actor: r.Operator, Reason: r.Reason}
	case peer.HostResume:
		cmd.Resume = &inventory.Resume{Host: r.Host, Actor: r.Operator, Reason: r.Reason}
	default:
		return nil, &fault.Invalid{Field: "action", Reason: "unknown", Allowed: "drain, move or resume"}
	}
	result, err := c.propose(ctx, datacentre.Command{Inventory: &cmd})
	if err != nil {
		return nil, err
	}
	if result.Host == nil {
		return nil, &fault.NotFound{Kind: "host", Name: r.Host}
	}
	return &peer.HostCommandResponse{Host: *result.Host}, nil
}
