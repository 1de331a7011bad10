package dispatch

import (
	"context"

	"agatehaven.dev/agatehaven/internal/peer"
)

// NewPeerLeader returns the Leader that calls the data centre group's leader
// through its peers. Both calls are repeated when their effect is unknown.
func NewPeerLeader(c *peer.LeaderClient) Leader { return &peerLeader{client: c} }

type peerLeader struct{ client *peer.LeaderClient }

func (l *peerLeader) PullAssignments(ctx context.Context, r *peer.PullAssignmentsRequest) (out *peer.PullAssignmentsResponse, err error) {
	err = l.client.DoIdempotent(ctx, func(h peer.Handler) error {
		out, err = h.PullAssignments(ctx, r)
		return err
	})
	return out, err
}

func (l *peerLeader) ReportAttempts(ctx context.Context, r *peer.ReportAttemptsRequest) (out *peer.ReportAttemptsResponse, err error) {
	err = l.client.DoIdempotent(ctx, func(h peer.Handler) error {
		out, err = h.ReportAttempts(ctx, r)
		return err
	})
	return out, err
}
