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

// ApplyContext holds what a command is applied with. Time is the timestamp of the
// log entry, and the only time that the ledger uses.
type ApplyContext struct {
	DataCentre string
	Group      string
	Index      uint64
	Time       hlc.Time
	Catalogue  *model.Catalogue
	Hosts      Hosts
}

// Limits bounds the ledger. It is part of the replicated state, since it affects
// how commands are applied; SetLimits changes it.
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
	// The keys of idempotent requests expire together with their answers.
	KeyRetention time.Duration `cbor:"6,keyasint"`
	// MaxStoredBytes bounds the payloads and answers held together; claims
	// beyond it are refused. Answers of running requests may exceed it.
	MaxStoredBytes int64 `cbor:"7,keyasint"`
	// MaxKeys bounds the keys of non-idempotent requests, open and finished
	// ones together, so that the key of each finished one can be retained; new
	// non-idempotent claims beyond it are refused. 0 keeps finished requests
	// whole for KeyRetention and does not bound their keys.
	MaxKeys int `cbor:"8,keyasint,omitempty"`
}

// DefaultLimits returns the limits of docs/design.md.
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
// They reduce no requests to their keys: replaying a log written by a version
// without MaxKeys must give the same state as that version.
func InitialLimits() Limits {
	l := DefaultLimits()
	l.MaxKeys = 0
	return l
}

// State is the ledger of one data centre. It is not safe for concurrent use;
// the requests that it returns are immutable and may be read without a lock.
type State struct {
	limits        Limits
	seq           uint64
	stored        int64 // bytes of payloads, answers and checkpoint references
	requests      map[string]*record
	nonIdempotent int        // requests that are not idempotent
	keys          *keyTable  // finished requests reduced to their keys
	claimOrder    *list.List // records in claim order
	elements      map[*record]*list.Element
	queues        map[class]*orderedQueue
	expiry        *orderedQueue // records by the time at which Expire changes them
	parked        map[*record]struct{}
	waiting       counts               // queued and parked requests
	running       counts               // dispatched requests
	hosts         map[string]*hostLoad // by host name
	owners        map[owner]map[attemptRef]struct{}
	openAttempts  map[attemptRef]struct{}
	awaitingRetry map[*record]struct{}
}

// class identifies the requests of one pool and priority. Each class has its
// own queue.
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

// load is the capacity that attempts hold on one incarnation of a host.
type load struct{ slots, cpuMillis, memoryMB, accelerators int }

// hostLoad holds the open attempts on one host. currentIncarnation is the host's
// incarnation as last seen on apply; attempts on an earlier one hold no slot,
// since a restarted target runs none of them.
type hostLoad struct {
	currentIncarnation string
	loads              map[string]load
	refs               map[attemptRef]struct{}
}

// New returns an empty ledger.
func New(l Limits) *State {
	s := &State{limits: l}
	s.clear()
	return s
}

func (s *State) clear() {
	s.seq, s.stored, s.nonIdempotent = 0, 0, 0
	s.requests = map[string]*record{}
	s.keys = &keyTable{}
	s.claimOrder = list.New()
	s.elements = map[*record]*list.Element{}
	s.queues = map[class]*orderedQueue{}
	s.expiry = &orderedQueue{less: s.expiresBefore, pos: func(r *record) *int { return &r.expiry }}
	s.parked = map[*record]struct{}{}
	s.waiting = newCounts()
	s.running = newCounts()
	s.hosts = map[string]*hostLoad{}
	s.owners = map[owner]map[attemptRef]struct{}{}
	s.openAttempts = map[attemptRef]struct{}{}
	s.awaitingRetry = map[*record]struct{}{}
}

// insert adds a new record to all indexes.
func (s *State) insert(rec *record) {
	rec.queue, rec.expiry = -1, -1
	s.requests[rec.req.Key] = rec
	s.elements[rec] = s.claimOrder.PushBack(rec)
	if !rec.req.Idempotent {
		s.nonIdempotent++
	}
	s.index(rec)
}

// removeRecord removes a record from all indexes.
func (s *State) removeRecord(rec *record) {
	s.unindex(rec)
	delete(s.requests, rec.req.Key)
	s.claimOrder.Remove(s.elements[rec])
	delete(s.elements, rec)
	if !rec.req.Idempotent {
		s.nonIdempotent--
	}
	s.dropIdleHosts(rec.req)
}

// update replaces the request of a record by a changed copy, so that readers
// of the old one never see a half-written request.
func (s *State) update(rec *record, change func(r *model.Request)) *model.Request {
	s.unindex(rec)
	old := rec.req
	next := *old
	next.Attempts = append([]model.Attempt(nil), old.Attempts...)
	change(&next)
	rec.req = &next
	s.index(rec)
	s.dropIdleHosts(old)
	return rec.req
}

// dropIdleHosts removes the hosts of a request's attempts that have no open
// attempt left.
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

func (s *State) index(rec *record) {
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
			s.awaitingRetry[rec] = struct{}{}
		}
	}
	for i := range r.Attempts {
		if isOpen(r.Attempts[i].State) {
			s.indexAttempt(rec, &r.Attempts[i])
		}
	}
	if _, ok := s.expiryTime(r); ok {
		s.expiry.add(rec)
	}
}

func (s *State) unindex(rec *record) {
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
		delete(s.awaitingRetry, rec)
	}
	for i := range r.Attempts {
		if isOpen(r.Attempts[i].State) {
			s.unindexAttempt(rec, &r.Attempts[i])
		}
	}
	if rec.expiry >= 0 {
		s.expiry.remove(rec)
	}
}

func (s *State) indexAttempt(rec *record, a *model.Attempt) {
	ref := attemptRef{rec: rec, number: a.Number}
	s.openAttempts[ref] = struct{}{}
	h := s.hosts[a.Host]
	if h == nil {
		h = &hostLoad{currentIncarnation: a.TargetIncarnation, loads: map[string]load{}, refs: map[attemptRef]struct{}{}}
		s.hosts[a.Host] = h
	}
	h.refs[ref] = struct{}{}
	if !a.Released {
		h.addLoad(a, rec.req.Accelerators, 1)
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

func (s *State) unindexAttempt(rec *record, a *model.Attempt) {
	ref := attemptRef{rec: rec, number: a.Number}
	delete(s.openAttempts, ref)
	h := s.hosts[a.Host]
	if !a.Released {
		h.addLoad(a, rec.req.Accelerators, -1)
	}
	delete(h.refs, ref)
	o := owner{a.Owner, a.OwnerIncarnation}
	delete(s.owners[o], ref)
	if len(s.owners[o]) == 0 {
		delete(s.owners, o)
	}
}

func (h *hostLoad) addLoad(a *model.Attempt, accelerators, sign int) {
	l := h.loads[a.TargetIncarnation]
	l.slots += sign
	l.cpuMillis += sign * a.CPUMillis
	l.memoryMB += sign * a.MemoryMB
	l.accelerators += sign * accelerators
	if l.slots == 0 {
		delete(h.loads, a.TargetIncarnation)
		return
	}
	h.loads[a.TargetIncarnation] = l
}

// setCurrentIncarnation records the current incarnation of a host. Hosts without
// open attempts need no entry.
func (s *State) setCurrentIncarnation(host, incarnation string) {
	if h := s.hosts[host]; h != nil {
		h.currentIncarnation = incarnation
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

func (s *State) expiresBefore(a, b *record) bool {
	ta, _ := s.expiryTime(a.req)
	tb, _ := s.expiryTime(b.req)
	if c := ta.Compare(tb); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// reducible reports whether a finished request is reduced to its key when the
// retention of its answer is over. A request whose outcome is not proven may
// still change and is kept whole.
func (s *State) reducible(r *model.Request) bool {
	return s.limits.MaxKeys > 0 && !r.Idempotent && r.State == model.RequestFinished &&
		(r.Outcome == model.OutcomeDone || r.Outcome == model.OutcomeNotRun) &&
		!hasAttempt(r, model.AttemptAssigned) && !hasAttempt(r, model.AttemptUnknown)
}

// expiryTime returns when Expire next changes the request: at its deadline, at
// the end of its answer's retention or at the end of its key's. A request with
// an assigned attempt is kept until the attempt ends or is lost. So is a queued
// one whose last attempt a checkpoint ended: without the checkpoint order, it
// would still be running.
func (s *State) expiryTime(r *model.Request) (hlc.Time, bool) {
	if hasAttempt(r, model.AttemptAssigned) || (r.State == model.RequestQueued && endedByCheckpoint(r)) {
		return hlc.Time{}, false
	}
	if r.State != model.RequestFinished {
		return r.Deadline, !r.Deadline.IsZero()
	}
	if len(r.Answer) > 0 || s.reducible(r) {
		return r.Finished.Add(s.limits.AnswerRetention), true
	}
	if r.Idempotent {
		// A second run does no harm, and most requests are idempotent, so their
		// keys would fill the table.
		return r.Finished.Add(s.limits.AnswerRetention), true
	}
	return r.Finished.Add(s.limits.KeyRetention), true
}

// setLimits takes new limits into force. They change when requests expire, so
// the heap of expiry times is rebuilt.
func (s *State) setLimits(l Limits) {
	records := s.expiry.items
	s.expiry.items = nil
	for _, rec := range records {
		rec.expiry = -1
	}
	s.limits = l
	for _, rec := range records {
		s.expiry.add(rec)
	}
}

// eventLog numbers the events of one log entry.
type eventLog struct {
	ctx    ApplyContext
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
