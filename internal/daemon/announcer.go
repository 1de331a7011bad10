package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/ring"
)

const (
	// announceBatchDelay is how long announcements are collected for one call to
	// the leader. It is a twentieth of the announcement interval and short
	// compared with the 2 s within which a leaving target must stop getting
	// new work.
	announceBatchDelay = 50 * time.Millisecond
	// maxQueuedAnnouncements bounds the announcements that wait for a call. It
	// allows all hosts of the fleet size planned for two years from now to
	// announce themselves through one entry host.
	maxQueuedAnnouncements = 8192
	// maxAnnounceCallBytes keeps a call below the limit of a peer message. The
	// size of an announcement is estimated from its lists, since keys have at
	// most 256 bytes.
	maxAnnounceCallBytes   = 1 << 20
	announcementBaseBytes  = 1 << 10
	announcementEntryBytes = 512
	// announceConcurrency bounds the announcements of one call that the leader
	// commits at the same time, when many hosts are new.
	announceConcurrency = 64
)

// announcer forwards announcements to the leader of one data centre. It batches
// them, because a call costs far more than processing an announcement.
type announcer struct {
	dataCentre string
	leader     peer.IdempotentDoer
	clock      clock.Clock
	queue      *ring.Ring[*announcement]
}

// announcement is one announcement that waits for the leader's answer.
type announcement struct {
	request peer.AnnounceRequest
	done    chan peer.AnnounceResult
}

func newAnnouncer(dataCentre string, leader *peer.LeaderClient, c clock.Clock) *announcer {
	return &announcer{
		dataCentre: dataCentre, leader: leader, clock: c,
		queue: ring.New[*announcement]("announcements", maxQueuedAnnouncements),
	}
}

// announce forwards one announcement and returns the lease granted.
func (a *announcer) announce(ctx context.Context, r peer.AnnounceRequest) (time.Duration, error) {
	n := &announcement{request: r, done: make(chan peer.AnnounceResult, 1)}
	if err := a.queue.TryPut(n); err != nil {
		return 0, err
	}
	select {
	case result := <-n.done:
		if result.Code != "" {
			return 0, &fault.Remote{RemoteCode: result.Code, Text: result.Text}
		}
		return time.Duration(result.LeaseMS) * time.Millisecond, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run sends batches until ctx ends. Each has its own goroutine, so that a slow
// call, such as the registration of many hosts, does not delay later ones.
func (a *announcer) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		var batch []*announcement
		select {
		case n := <-a.queue.Items():
			batch = append(batch, n)
		case <-ctx.Done():
			return
		}
		select {
		case <-a.clock.After(announceBatchDelay):
		case <-ctx.Done():
			return
		}
		for size := batch[0].size(); size < maxAnnounceCallBytes; {
			more := a.queue.Drain(1)
			if len(more) == 0 {
				break
			}
			batch = append(batch, more[0])
			size += more[0].size()
		}
		wg.Go(func() { a.send(ctx, batch) })
	}
}

// size returns the estimated encoded size in bytes.
func (n *announcement) size() int {
	return announcementBaseBytes + announcementEntryBytes*(len(n.request.Running)+len(n.request.Usage))
}

func (a *announcer) send(ctx context.Context, batch []*announcement) {
	ctx, cancel := context.WithTimeout(ctx, homeLeaderTimeout)
	defer cancel()
	request := &peer.AnnounceBatchRequest{DataCentre: a.dataCentre}
	for _, n := range batch {
		request.Items = append(request.Items, n.request)
	}
	response, err := peer.CallIdempotent(ctx, a.leader, peer.Handler.Announce, request)
	for i, n := range batch {
		switch {
		case err != nil:
			n.done <- peer.AnnounceResult{Code: fault.CodeOf(err), Text: err.Error()}
		case i >= len(response.Results):
			n.done <- peer.AnnounceResult{Code: fault.CodeCorrupt, Text: "the leader's answer has no result for this host"}
		default:
			n.done <- response.Results[i]
		}
	}
}

// handleAnnouncements passes each item to handle and returns the results in
// order. If handle returns *fault.NotLeader for any item, the whole batch fails
// with it, so that the sender repeats the batch at the leader.
func handleAnnouncements(ctx context.Context, items []peer.AnnounceRequest,
	handle func(context.Context, *peer.AnnounceRequest) (*peer.AnnounceResponse, error),
) (*peer.AnnounceBatchResponse, error) {
	out := &peer.AnnounceBatchResponse{Results: make([]peer.AnnounceResult, len(items))}
	var group errgroup.Group
	group.SetLimit(announceConcurrency)
	for i := range items {
		group.Go(func() error {
			response, err := handle(ctx, &items[i])
			switch {
			case fault.CodeOf(err) == fault.CodeNotLeader && err != nil:
				return err
			case err != nil:
				out.Results[i] = peer.AnnounceResult{Code: fault.CodeOf(err), Text: err.Error()}
			default:
				out.Results[i].LeaseMS = response.LeaseMS
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return out, nil
}
