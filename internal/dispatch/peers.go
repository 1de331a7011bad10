package dispatch

import (
	"context"

	"agatehaven.dev/agatehaven/internal/peer"
)

// NewPeerLeader returns the Leader that calls the data centre group's leader
// through its peers. Both calls are repeated when their effect is unknown.
func NewPeerLeader(c *peer.LeaderClient) Leader { return &peerLeader{client: c} }

type peerLeader struct{ client *peer.LeaderClient }

func (l *peerLeader) PullAssignments(ctx context.Context, r *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error) {
	return peer.CallIdempotent(ctx, l.client, peer.Handler.PullAssignments, r)
}

func (l *peerLeader) ReportAttempts(ctx context.Context, r *peer.ReportAttemptsRequest) (*peer.ReportAttemptsResponse, error) {
	return peer.CallIdempotent(ctx, l.client, peer.Handler.ReportAttempts, r)
}
