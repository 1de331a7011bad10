package ledger

import (
	"container/list"
	"time"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// Hosts is the view of the inventory that dispatch is checked against.
type Hosts interface {
	Host(name string) (model.Host, bool)
}

// Context is what a command is applied with. Time is the entry's time and the
// only time that the ledger sees.
type Context struct {
	DataCentre string
	Group      string
	Index      uint64
	Time       hlc.Time
	Catalogue  *model.Catalogue
	Hosts      Hosts
}

// Limits bounds the ledger. They are part of the replicated state, since they
// decide on apply; SetLimits changes them.
type Limits struct {
	MaxRequests int `cbor:"1,keyasint"`
	// MaxQueuedPerPool bounds the queued and parked requests of one pool.
	MaxQueuedPerPool int `cbor:"2,keyasint"`
	MaxPayloadBytes  int `cbor:"3,keyasint"`
	MaxAnswerBytes   int `cbor:"4,keyasint"`
	// AnswerRetention is how long a finished request keeps its answer.
	AnswerRetention time.Duration `cbor:"5,keyasint"`
	// KeyRetention is how long the key of a finished non-idempotent request is
	// refused for another run. A later claim of the same key is a new request.
	// The keys of idempotent requests go with their answers.
	KeyRetention time.Duration `cbor:"6,keyasint"`
	// MaxStoredBytes bounds the payloads and answers held together; claims
	// beyond it are refused. Answers of running requests may exceed it.
	MaxStoredBytes int64 `cbor:"7,keyasint"`
	// MaxKeys bounds the keys of non-idempotent requests, open and finished
	// ones together, so that each finished one has its place among the retained
	// keys; new non-idempotent claims beyond it are refused. 0 keeps finished
	// requests whole for KeyRetention and does not bound their keys.
	MaxKeys int `cbor:"8,keyasint,omitempty"`
}

// DefaultLimits returns the limits of the design page.
func DefaultLimits() Limits {
	return Limits{
		MaxRequests:      100_000,
		MaxQueuedPerPool: 10_000,
		MaxPayloadBytes:  256 << 10,
		MaxAnswerBytes:   256 << 10,
		AnswerRetention:  10 * time.Minute,
		KeyRetention:     24 * time.Hour,
		MaxStoredBytes:   48 << 20,
		MaxKeys:          200_000,
	}
}

// InitialLimits returns the limits of a ledger before its first SetLimits.
// They reduce no requests: a log that a build without MaxKeys wrote must give
// the same state when it is replayed.
func InitialLimits() Limits {
	l := DefaultLimits()
	l.MaxKeys = 0
	return l
}

// State is the ledger of one data centre. It is not safe for concurrent use;
// the requests that it returns are immutable and may outlive a lock.
type State struct {
	limits   Limits
	seq      uint64
	stored   int64 // bytes of payloads, answers and checkpoint references
	requests map[string]*record
	once     int        // requests that are not idempotent
	keys     *keyTable  // reduced requests
	order    *list.List // records in claim order
	elements map[*record]*list.Element
	queues   map[class]*orderedQueue
	due      *orderedQueue
	parked   map[*record]struct{}
	waiting  counts // queued and parked requests
	running  counts // dispatched requests
	hosts    map[string]*hostLoad
	owners   map[owner]map[attemptRef]struct{}
	open     map[attemptRef]struct{}
	ended    map[*record]struct{}
}

type class struct {
	pool     string
	priority model.Priority
}

type owner struct{ host, incarnation string }

type attemptRef struct {
	rec    *record
	number int
}

// counts holds numbers of requests by pool, by team and by class.
type counts struct {
	pool, team map[string]int
	class      map[class]int
}

func newCounts() counts {
	return counts{pool: map[string]int{}, team: map[string]int{}, class: map[class]int{}}
}

func (c counts) add(r *model.Request, n int) {
	addCount(c.pool, r.Pool, n)
	addCount(c.team, r.Team, n)
	addCount(c.class, class{r.Pool, r.Priority}, n)
}

func addCount[K comparable](m map[K]int, key K, n int) {
	m[key] += n
	if m[key] == 0 {
		delete(m, key)
	}
}

// load is what attempts hold on one incarnation of a host.
type load struct{ slots, cpuMillis, memoryMB, accelerators int }

// hostLoad holds the undecided attempts on one host. current is the host's
// incarnation as last seen on apply; attempts on an earlier one hold no slot,
// since a restarted target runs none of them.
type hostLoad struct {
	current string
	held    map[string]load
	refs    map[attemptRef]struct{}
}

// New returns an empty ledger.
func New(l Limits) *State {
	s := &State{limits: l}
	s.clear()
	return s
}

func (s *State) clear() {
	s.seq, s.stored, s.once = 0, 0, 0
	s.requests = map[string]*record{}
	s.keys = &keyTable{}
	s.order = list.New()
	s.elements = map[*record]*list.Element{}
	s.queues = map[class]*orderedQueue{}
	s.due = &orderedQueue{less: s.dueBefore, pos: func(r *record) *int { return &r.due }}
	s.parked = map[*record]struct{}{}
	s.waiting = newCounts()
	s.running = newCounts()
	s.hosts = map[string]*hostLoad{}
	s.owners = map[owner]map[attemptRef]struct{}{}
	s.open = map[attemptRef]struct{}{}
	s.ended = map[*record]struct{}{}
}

// insert adds a record that is in no index yet.
func (s *State) insert(rec *record) {
	rec.queue, rec.due = -1, -1
	s.requests[rec.req.Key] = rec
	s.elements[rec] = s.order.PushBack(rec)
	if !rec.req.Idempotent {
		s.once++
	}
	s.link(rec)
}

// forget removes a record from all indexes.
func (s *State) forget(rec *record) {
	s.unlink(rec)
	delete(s.requests, rec.req.Key)
	s.order.Remove(s.elements[rec])
	delete(s.elements, rec)
	if !rec.req.Idempotent {
		s.once--
	}
	s.dropIdleHosts(rec.req)
}

// update replaces the request of a record by a changed copy, so that readers
// of the old one never see a half-written request.
func (s *State) update(rec *record, change func(r *model.Request)) *model.Request {
	s.unlink(rec)
	old := rec.req
	next := *old
	next.Attempts = append([]model.Attempt(nil), old.Attempts...)
	change(&next)
	rec.req = &next
	s.link(rec)
	s.dropIdleHosts(old)
	return rec.req
}

// dropIdleHosts forgets the hosts of a request's attempts on which no
// undecided attempt is left.
func (s *State) dropIdleHosts(r *model.Request) {
	for i := range r.Attempts {
		host := r.Attempts[i].Host
		if h := s.hosts[host]; h != nil && len(h.refs) == 0 {
			delete(s.hosts, host)
		}
	}
}

func storedBytes(r *model.Request) int64 {
	return int64(len(r.Payload) + len(r.Answer) + len(r.Checkpoint))
}

func (s *State) link(rec *record) {
	r := rec.req
	s.stored += storedBytes(r)
	switch r.State {
	case model.RequestQueued:
		s.queue(r.Pool, r.Priority).add(rec)
		s.waiting.add(r, 1)
	case model.RequestParked:
		s.parked[rec] = struct{}{}
		s.waiting.add(r, 1)
	case model.RequestDispatched:
		s.running.add(r, 1)
		if awaitsRetry(r) {
			s.ended[rec] = struct{}{}
		}
	}
	for i := range r.Attempts {
		if undecided(r.Attempts[i].State) {
			s.linkAttempt(rec, &r.Attempts[i])
		}
	}
	if _, ok := s.dueTime(r); ok {
		s.due.add(rec)
	}
}

func (s *State) unlink(rec *record) {
	r := rec.req
	s.stored -= storedBytes(r)
	switch r.State {
	case model.RequestQueued:
		s.queue(r.Pool, r.Priority).remove(rec)
		s.waiting.add(r, -1)
	case model.RequestParked:
		delete(s.parked, rec)
		s.waiting.add(r, -1)
	case model.RequestDispatched:
		s.running.add(r, -1)
		delete(s.ended, rec)
	}
	for i := range r.Attempts {
		if undecided(r.Attempts[i].State) {
			s.unlinkAttempt(rec, &r.Attempts[i])
		}
	}
	if rec.due >= 0 {
		s.due.remove(rec)
	}
}

func (s *State) linkAttempt(rec *record, a *model.Attempt) {
	ref := attemptRef{rec: rec, number: a.Number}
	s.open[ref] = struct{}{}
	h := s.hosts[a.Host]
	if h == nil {
		h = &hostLoad{current: a.TargetIncarnation, held: map[string]load{}, refs: map[attemptRef]struct{}{}}
		s.hosts[a.Host] = h
	}
	h.refs[ref] = struct{}{}
	if !a.Released {
		h.hold(a, rec.req.Accelerators, 1)
	}
	if a.State != model.AttemptAssigned {
		return
	}
	o := owner{a.Owner, a.OwnerIncarnation}
	if s.owners[o] == nil {
		s.owners[o] = map[attemptRef]struct{}{}
	}
	s.owners[o][ref] = struct{}{}
}

func (s *State) unlinkAttempt(rec *record, a *model.Attempt) {
	ref := attemptRef{rec: rec, number: a.Number}
	delete(s.open, ref)
	h := s.hosts[a.Host]
	if !a.Released {
		h.hold(a, rec.req.Accelerators, -1)
	}
	delete(h.refs, ref)
	o := owner{a.Owner, a.OwnerIncarnation}
	delete(s.owners[o], ref)
	if len(s.owners[o]) == 0 {
		delete(s.owners, o)
	}
}

func (h *hostLoad) hold(a *model.Attempt, accelerators, sign int) {
	l := h.held[a.TargetIncarnation]
	l.slots += sign
	l.cpuMillis += sign * a.CPUMillis
	l.memoryMB += sign * a.MemoryMB
	l.accelerators += sign * accelerators
	if l.slots == 0 {
		delete(h.held, a.TargetIncarnation)
		return
	}
	h.held[a.TargetIncarnation] = l
}

// see records the current incarnation of a host. Hosts without undecided
// attempts need no entry.
func (s *State) see(host, incarnation string) {
	if h := s.hosts[host]; h != nil {
		h.current = incarnation
	}
}

func (s *State) queue(pool string, p model.Priority) *orderedQueue {
	c := class{pool, p}
	q := s.queues[c]
	if q == nil {
		q = &orderedQueue{less: deadlineBefore, pos: func(r *record) *int { return &r.queue }}
		s.queues[c] = q
	}
	return q
}

// deadlineBefore orders a queue by deadline, then claim order. A request
// without a deadline comes last.
func deadlineBefore(a, b *record) bool {
	da, db := a.req.Deadline, b.req.Deadline
	if da.IsZero() != db.IsZero() {
		return db.IsZero()
	}
	if c := da.Compare(db); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func (s *State) dueBefore(a, b *record) bool {
	ta, _ := s.dueTime(a.req)
	tb, _ := s.dueTime(b.req)
	if c := ta.Compare(tb); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// reducible reports whether only the key of a finished request is retained
// once the retention of its answer is over. An outcome without proof may still
// change, so it keeps the request whole.
func (s *State) reducible(r *model.Request) bool {
	return s.limits.MaxKeys > 0 && !r.Idempotent && r.State == model.RequestFinished &&
		(r.Outcome == model.OutcomeDone || r.Outcome == model.OutcomeNotRun) &&
		!hasAttempt(r, model.AttemptAssigned) && !hasAttempt(r, model.AttemptUnknown)
}

// dueTime returns when Expire next changes the request: at its deadline, at
// the end of its answer's retention or at the end of its key's. A request with
// an assigned attempt is kept until the attempt is decided or lost, and so is
// one in the queue after a move: without it, its run would have gone on.
func (s *State) dueTime(r *model.Request) (hlc.Time, bool) {
	if hasAttempt(r, model.AttemptAssigned) || (r.State == model.RequestQueued && moved(r)) {
		return hlc.Time{}, false
	}
	if r.State != model.RequestFinished {
		return r.Deadline, !r.Deadline.IsZero()
	}
	if len(r.Answer) > 0 || s.reducible(r) {
		return r.Finished.Add(s.limits.AnswerRetention), true
	}
	if r.Idempotent {
		// A second run does no harm, and most requests are idempotent: their
		// keys would fill the table.
		return r.Finished.Add(s.limits.AnswerRetention), true
	}
	return r.Finished.Add(s.limits.KeyRetention), true
}

// setLimits takes new limits into force. Retention times and the choice of
// what is reduced order the heap of due times, so it is built again.
func (s *State) setLimits(l Limits) {
	records := s.due.items
	s.due.items = nil
	for _, rec := range records {
		rec.due = -1
	}
	s.limits = l
	for _, rec := range records {
		s.due.add(rec)
	}
}

// eventLog numbers the events of one log entry.
type eventLog struct {
	ctx    Context
	events []event.Event
}

func (l *eventLog) add(kind event.Kind, r *model.Request, host string, attempt int, actor, reason string) {
	l.events = append(l.events, event.Event{
		ID:         event.ID{Group: l.ctx.Group, Index: l.ctx.Index, Seq: len(l.events)},
		Time:       l.ctx.Time,
		Kind:       kind,
		DataCentre: l.ctx.DataCentre,
		Host:       host,
		Pool:       r.Pool,
		Request:    r.Key,
		Attempt:    attempt,
		Actor:      actor,
		Reason:     reason,
	})
}
