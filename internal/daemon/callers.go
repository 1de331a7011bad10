package daemon

import (
	"context"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/target"
)

const (
	// ticketPrefix marks a key that names its home data centre.
	ticketPrefix = "t."
	// homeLeaderTimeout bounds the search for the leader of a key's home. It
	// covers the 3 s after which a silent connection is detected, and an
	// election.
	homeLeaderTimeout = 5 * time.Second
	// maxAwaitPerCall is the longest wait of one peer call. A longer wait takes
	// several calls, so that a silent connection is detected after one of them
	// and not after the whole wait.
	maxAwaitPerCall = 5 * time.Second
	// readRetryDelay separates reads of a home that does not answer.
	readRetryDelay = 200 * time.Millisecond
)

var _ caller.Service = (*Daemon)(nil)

// Ready implements caller.Service: nil if this process serves callers.
func (d *Daemon) Ready() error {
	if d.stopping.Load() {
		return &fault.ShuttingDown{}
	}
	if err := d.hlc.Skew(); err != nil {
		return err // deadlines that this host computes would be wrong
	}
	if records, _ := d.inForce.get(); records == nil {
		return &fault.Unavailable{What: "data centre " + d.settings.DataCentre, Reason: "its current state has not been read yet"}
	}
	return nil
}

// NewTicket implements caller.Service: a key homed in this data centre.
func (d *Daemon) NewTicket(_ context.Context) (string, error) {
	return ticketPrefix + d.settings.DataCentre + "." + uuid.NewString(), nil
}

// Submit implements caller.Service. An error proves that the request was not
// claimed by this call; if the effect is not known, the request is returned
// as unknown, and the caller may send the same key again.
func (d *Daemon) Submit(ctx context.Context, s caller.Submission) (model.Request, error) {
	home, err := d.homeOf(s.Key, s.Kind)
	if err != nil {
		return model.Request{}, err
	}
	until := d.clock.Now().Add(s.Wait)
	request := &peer.SubmitRequest{
		Key: s.Key, Kind: s.Kind, Team: s.Team, Payload: s.Payload,
		Deadline: d.hlc.Now().Add(s.Deadline), Entry: d.settings.Host, DataCentre: home,
		WaitMS: min(s.Wait, maxAwaitPerCall).Milliseconds(),
	}
	response, err := d.claim(ctx, home, request)
	if err != nil {
		return model.Request{}, err
	}
	return d.awaitUntil(ctx, home, response, until), nil
}

// claim sends the submission to its home's leader.
func (d *Daemon) claim(ctx context.Context, home string, r *peer.SubmitRequest) (model.Request, error) {
	// The search for the leader has its own time limit in addition to the wait
	// of the call. Once the request may have been claimed, retries go on for
	// the whole time, since stopping would leave its outcome unknown. Until
	// then, it is refused when the search time is over.
	searchUntil := d.clock.Now().Add(homeLeaderTimeout)
	ctx, cancel := context.WithTimeout(ctx, homeLeaderTimeout+time.Duration(r.WaitMS)*time.Millisecond)
	defer cancel()
	var response *peer.RequestResponse
	mayBeClaimed := false
	err := d.leaders[home].DoIdempotent(ctx, func(h peer.Handler) error {
		if !mayBeClaimed && d.clock.Now().After(searchUntil) {
			cancel()
			return &fault.Unavailable{What: "data centre " + home, Reason: "no leader answered in time"}
		}
		var err error
		response, err = h.Submit(ctx, r)
		if err != nil && !peer.HadNoEffect(err) {
			mayBeClaimed = true
		}
		return err
	})
	switch {
	case err == nil:
		return response.Request, nil
	case peer.IsAnswer(err) && !mayBeClaimed:
		return model.Request{}, err
	case mayBeClaimed:
		return model.Request{
			Key: r.Key, Kind: r.Kind, Team: r.Team, State: model.RequestFinished, Outcome: model.OutcomeUnknown,
			Reason: "the home data centre gave no answer; send the same key again to learn the outcome",
		}, nil
	}
	return model.Request{}, &fault.Unavailable{What: "data centre " + home, Reason: "no leader answered; the request was not run"}
}

// Await implements caller.Service.
func (d *Daemon) Await(ctx context.Context, key string, wait time.Duration) (model.Request, error) {
	until := d.clock.Now().Add(wait)
	home, request, err := d.findRequest(ctx, key)
	if err != nil {
		return model.Request{}, err
	}
	return d.awaitUntil(ctx, home, request, until), nil
}

// Cancel implements caller.Service.
func (d *Daemon) Cancel(ctx context.Context, key string) (model.Request, error) {
	response, err := d.cancelRequest(ctx, &peer.CancelRequestRequest{Key: key, Actor: "caller"})
	if err != nil {
		return model.Request{}, err
	}
	return response.Request, nil
}

func (d *Daemon) cancelRequest(ctx context.Context, r *peer.CancelRequestRequest) (*peer.RequestResponse, error) {
	home, _, err := d.findRequest(ctx, r.Key)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, homeLeaderTimeout)
	defer cancel()
	r.DataCentre = home
	return peer.CallIdempotent(ctx, d.leaders[home], peer.Handler.CancelRequest, r)
}

// awaitUntil waits for an outcome until the given time, with as many calls as
// that takes. If the wait fails, it returns the last state read, since a
// claimed request stays claimed.
func (d *Daemon) awaitUntil(ctx context.Context, home string, last model.Request, until time.Time) model.Request {
	for !outcomeIsFinal(&last) && ctx.Err() == nil {
		left := until.Sub(d.clock.Now())
		if left <= 0 {
			break
		}
		request, err := d.readRequest(ctx, home, last.Key, min(left, maxAwaitPerCall))
		switch {
		case err == nil:
			last = request
		case peer.IsAnswer(err) || !d.waitReadRetry(ctx):
			return last
		}
	}
	return last
}

// waitReadRetry waits for readRetryDelay. It returns false if ctx has ended.
func (d *Daemon) waitReadRetry(ctx context.Context) bool {
	select {
	case <-d.clock.After(readRetryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// outcomeIsFinal reports whether waiting longer cannot change the answer. A
// request whose claim got no answer has no attempts and may still be open in its
// ledger, so it is not final.
func outcomeIsFinal(r *model.Request) bool {
	return r.State == model.RequestFinished && (r.Outcome != model.OutcomeUnknown || len(r.Attempts) > 0)
}

// readRequest reads a request from its home and waits for its outcome up to
// wait.
func (d *Daemon) readRequest(ctx context.Context, home, key string, wait time.Duration) (model.Request, error) {
	ctx, cancel := context.WithTimeout(ctx, homeLeaderTimeout+wait)
	defer cancel()
	request := &peer.AwaitRequest{Key: key, WaitMS: wait.Milliseconds(), DataCentre: home}
	response, err := peer.CallIdempotent(ctx, d.leaders[home], peer.Handler.Await, request)
	if err != nil {
		return model.Request{}, err
	}
	return response.Request, nil
}

// findRequest returns the home and the state of a request whose kind is not
// known. A ticket names its home; a plain key is looked up in every data centre.
func (d *Daemon) findRequest(ctx context.Context, key string) (string, model.Request, error) {
	if home, ok := d.ticketHome(key); ok {
		request, err := d.readRequest(ctx, home, key, 0)
		return home, request, err
	}
	type lookup struct {
		home    string
		request model.Request
		err     error
	}
	homes := d.settings.DataCentres()
	results := make(chan lookup, len(homes))
	var wg sync.WaitGroup
	for _, home := range homes {
		wg.Go(func() {
			request, err := d.readRequest(ctx, home, key, 0)
			results <- lookup{home, request, err}
		})
	}
	go func() { wg.Wait(); close(results) }()
	var unreachable error
	for r := range results {
		if r.err == nil {
			return r.home, r.request, nil
		}
		if fault.CodeOf(r.err) != fault.CodeNotFound {
			unreachable = &fault.Unavailable{What: "data centre " + r.home, Reason: "the request may be there: " + r.err.Error()}
		}
	}
	if unreachable != nil {
		return "", model.Request{}, unreachable
	}
	return "", model.Request{}, &fault.NotFound{Kind: "request", Name: key}
}

// homeOf returns the data centre whose ledger holds a key. It depends only on
// the key and on the pool's homes, which never change, so that every entry
// host finds the same ledger.
func (d *Daemon) homeOf(key, kind string) (string, error) {
	_, catalogue := d.inForce.get()
	if catalogue == nil {
		return "", d.Ready()
	}
	job := catalogue.JobKinds[kind]
	if job == nil {
		return "", &fault.NotFound{Kind: "job kind", Name: kind}
	}
	if strings.HasPrefix(key, ticketPrefix) {
		if home, ok := d.ticketHome(key); ok {
			return home, nil
		}
		return "", &fault.Invalid{Field: "Idempotency-Key", Reason: "names no data centre of this region", Allowed: ticketPrefix + "<data centre>.<id>"}
	}
	pool := catalogue.Pools[job.Pool]
	if pool == nil || len(pool.Homes) == 0 {
		return "", &fault.NotFound{Kind: "pool", Name: job.Pool}
	}
	return hashHome(key, pool.Homes), nil
}

func (d *Daemon) ticketHome(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return "", false
	}
	for _, home := range d.settings.DataCentres() {
		if strings.HasPrefix(rest, home+".") {
			return home, true
		}
	}
	return "", false
}

func hashHome(key string, homes []string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	return homes[h.Sum64()%uint64(len(homes))]
}

// announceForwarder implements target.AnnounceService. It forwards announcements
// to the leader of the target's data centre.
type announceForwarder struct{ d *Daemon }

// Announce implements target.AnnounceService.
func (a announceForwarder) Announce(ctx context.Context, m target.Announcement) (time.Duration, error) {
	to := a.d.announcers[m.DataCentre]
	if to == nil {
		return 0, &fault.NotFound{Kind: "data centre", Name: m.DataCentre}
	}
	request := peer.AnnounceRequest{Info: m.HostInfo, Usage: m.Usage}
	for _, task := range m.Running {
		request.Running = append(request.Running, peer.AttemptRef{Key: task.Request, Attempt: task.Attempt})
	}
	return to.announce(ctx, request)
}
