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
	// ticketPrefix starts a key that names its home data centre.
	ticketPrefix = "t."
	// homeTimeout bounds the search for the leader of a key's home. It covers
	// the 3 s in which silent connections are noticed and an election.
	homeTimeout = 5 * time.Second
	// awaitSlice is the longest wait of one peer call; longer waits repeat it,
	// so that a silent connection delays an answer by no more than its margin.
	awaitSlice = 5 * time.Second
	// readRetryPause separates reads of a home that gives no answer.
	readRetryPause = 200 * time.Millisecond
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
	if records, _ := d.force.get(); records == nil {
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
		WaitMS: min(s.Wait, awaitSlice).Milliseconds(),
	}
	response, err := d.claim(ctx, home, request)
	if err != nil {
		return model.Request{}, err
	}
	return d.awaitUntil(ctx, home, response, until), nil
}

// claim sends the submission to its home's leader.
func (d *Daemon) claim(ctx context.Context, home string, r *peer.SubmitRequest) (model.Request, error) {
	// The time for finding the leader adds to the time of the call itself. A
	// request that may be claimed is worth the whole time, since its outcome
	// would be unknown; one that is not is refused when the search is over.
	searchUntil := d.clock.Now().Add(homeTimeout)
	ctx, cancel := context.WithTimeout(ctx, homeTimeout+time.Duration(r.WaitMS)*time.Millisecond)
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
	home, request, err := d.find(ctx, key)
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
	home, _, err := d.find(ctx, r.Key)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	r.DataCentre = home
	return peer.CallIdempotent(ctx, d.leaders[home], peer.Handler.CancelRequest, r)
}

// awaitUntil repeats the wait for an outcome until the time is over. It
// returns the last state read, since a request that was claimed stays claimed
// whatever happens to the wait.
func (d *Daemon) awaitUntil(ctx context.Context, home string, last model.Request, until time.Time) model.Request {
	for !settled(&last) && ctx.Err() == nil {
		left := until.Sub(d.clock.Now())
		if left <= 0 {
			break
		}
		request, err := d.read(ctx, home, last.Key, min(left, awaitSlice))
		switch {
		case err == nil:
			last = request
		case peer.IsAnswer(err) || !d.pause(ctx):
			return last
		}
	}
	return last
}

// pause waits for readRetryPause; it returns false if ctx has ended.
func (d *Daemon) pause(ctx context.Context) bool {
	select {
	case <-d.clock.After(readRetryPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// settled reports whether waiting longer cannot change the answer. A request
// whose claim got no answer may be open, so its wait goes on.
func settled(r *model.Request) bool {
	return r.State == model.RequestFinished && (r.Outcome != model.OutcomeUnknown || len(r.Attempts) > 0)
}

// read reads a request from its home and waits for its outcome.
func (d *Daemon) read(ctx context.Context, home, key string, wait time.Duration) (model.Request, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout+wait)
	defer cancel()
	request := &peer.AwaitRequest{Key: key, WaitMS: wait.Milliseconds(), DataCentre: home}
	response, err := peer.CallIdempotent(ctx, d.leaders[home], peer.Handler.Await, request)
	if err != nil {
		return model.Request{}, err
	}
	return response.Request, nil
}

// find returns the home and the state of a request whose kind is not known.
// A ticket names its home; a plain key is looked up in every data centre.
func (d *Daemon) find(ctx context.Context, key string) (string, model.Request, error) {
	if home, ok := d.ticketHome(key); ok {
		request, err := d.read(ctx, home, key, 0)
		return home, request, err
	}
	type found struct {
		home    string
		request model.Request
		err     error
	}
	homes := d.settings.DataCentres()
	results := make(chan found, len(homes))
	var wg sync.WaitGroup
	for _, home := range homes {
		wg.Go(func() {
			request, err := d.read(ctx, home, key, 0)
			results <- found{home, request, err}
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
	_, catalogue := d.force.get()
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

// announcements forwards targets' announcements to the leader of their data
// centre. It implements target.AnnounceService.
type announcements struct{ d *Daemon }

// Announce implements target.AnnounceService.
func (a announcements) Announce(ctx context.Context, m target.Announcement) (time.Duration, error) {
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
