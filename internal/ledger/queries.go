package ledger

import (
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// priorities lists the scheduling classes in the order of the queue.
var priorities = [...]model.Priority{model.Urgent, model.Normal, model.Patient}

// OpenAttempt is an attempt whose result can still be read from its target.
type OpenAttempt struct {
	Key               string
	Attempt           int
	Kind              string
	Pool              string
	Idempotent        bool
	Host              string
	Address           string
	TargetIncarnation string
	Owner             string
	OwnerIncarnation  string
	State             model.AttemptState // assigned or unknown
	At                hlc.Time
	// StopRequested is set if the result is not wanted any more.
	StopRequested bool
	// Released is set if the attempt holds no slot any more.
	Released bool
	// Checkpointable is set if the run may be ended at a checkpoint,
	// CheckpointOrdered once that is ordered.
	Checkpointable    bool
	CheckpointOrdered bool
}

// Get returns the request of a key. Of a reduced request only the fields that
// model.Request.DetailsExpired names are set.
func (s *State) Get(key string) (*model.Request, bool) {
	rec, ok := s.requests[key]
	if !ok {
		return s.retained(key)
	}
	return rec.req, true
}

func (s *State) retained(key string) (*model.Request, bool) {
	k, ok := s.keys.get(key)
	if !ok {
		return nil, false
	}
	return k.request(), true
}

// KeyCount returns the number of keys of non-idempotent requests, which
// Limits.MaxKeys bounds: open and finished requests and retained keys.
func (s *State) KeyCount() int { return s.nonIdempotent + s.keys.count }

// Queued returns up to limit queued requests of a pool by priority, deadline
// and claim order, including those whose NotBefore has not passed.
func (s *State) Queued(pool string, limit int) []*model.Request {
	var out []*model.Request
	for _, p := range priorities {
		out = append(out, s.QueuedClass(pool, p, limit-len(out))...)
	}
	return out
}

// QueuedClass returns up to limit queued requests of one priority, so that a
// long queue of urgent requests does not hide the patient ones.
func (s *State) QueuedClass(pool string, p model.Priority, limit int) []*model.Request {
	q := s.queues[class{pool, p}]
	if q == nil {
		return nil
	}
	records := q.first(limit)
	out := make([]*model.Request, len(records))
	for i, rec := range records {
		out[i] = rec.req
	}
	return out
}

// QueuedCount returns the number of queued requests of a pool.
func (s *State) QueuedCount(pool string) int {
	n := 0
	for _, p := range priorities {
		if q := s.queues[class{pool, p}]; q != nil {
			n += q.Len()
		}
	}
	return n
}

// RunningCount returns the number of dispatched requests of a pool.
func (s *State) RunningCount(pool string) int { return s.running.pool[pool] }

// RunningByPriority returns the numbers of dispatched requests of a pool.
func (s *State) RunningByPriority(pool string) map[model.Priority]int {
	out := make(map[model.Priority]int, len(priorities))
	for _, p := range priorities {
		if n := s.running.class[class{pool, p}]; n > 0 {
			out[p] = n
		}
	}
	return out
}

// NextAttempt returns the number that the next attempt of a request must have.
func NextAttempt(r *model.Request) int { return nextAttempt(r) }

// TeamRunning returns the number of dispatched requests of a team.
func (s *State) TeamRunning(team string) int { return s.running.team[team] }

// TeamWaiting returns the number of queued and parked requests of a team.
func (s *State) TeamWaiting(team string) int { return s.waiting.team[team] }

// HeldSlots returns the slots held by assigned and unknown attempts on the
// current incarnation of a host.
func (s *State) HeldSlots(host string) int { return s.load(host).slots }

// Reserved returns the CPU in thousandths of a core, the memory in MB and the
// accelerators held on the current incarnation of a host.
func (s *State) Reserved(host string) (cpuMillis, memoryMB, accelerators int) {
	l := s.load(host)
	return l.cpuMillis, l.memoryMB, l.accelerators
}

func (s *State) load(host string) load {
	h := s.hosts[host]
	if h == nil {
		return load{}
	}
	return h.loads[h.currentIncarnation]
}

// Assignments returns the assigned attempts of one incarnation of an owner in
// claim order. CanRevoke, HostDraining and StopLimitMS come from the inventory
// and the records and are set by the calling function, which also decides whether
// a checkpoint order still applies.
func (s *State) Assignments(host, incarnation string) []model.Assignment {
	refs := sortedRefs(s.owners[owner{host, incarnation}])
	out := make([]model.Assignment, 0, len(refs))
	for _, ref := range refs {
		r := ref.rec.req
		a := findAttempt(r, ref.number)
		assignment := model.Assignment{
			Key: r.Key, Attempt: a.Number, Kind: r.Kind, Payload: r.Payload,
			Host: a.Host, Address: a.Address, TargetIncarnation: a.TargetIncarnation,
			CPUMillis: a.CPUMillis, MemoryMB: a.MemoryMB, Accelerators: r.Accelerators,
			StopRequested: stopRequested(r), At: a.At, OwnerIncarnation: a.OwnerIncarnation,
			CheckpointRequested: a.CheckpointOrdered,
		}
		if a.FromCheckpoint {
			assignment.Checkpoint = r.Checkpoint
		}
		out = append(out, assignment)
	}
	return out
}

// stopRequested reports whether running attempts of the request should end: it
// was cancelled, or an earlier attempt has already finished it.
func stopRequested(r *model.Request) bool {
	return r.CancelRequested || r.State == model.RequestFinished
}

// OpenAttempts returns the assigned and unknown attempts in claim order, except
// those on an earlier incarnation of their host, which no target can resolve.
func (s *State) OpenAttempts() []OpenAttempt {
	refs := sortedRefs(s.openAttempts)
	out := make([]OpenAttempt, 0, len(refs))
	for _, ref := range refs {
		r := ref.rec.req
		a := findAttempt(r, ref.number)
		if s.hosts[a.Host].currentIncarnation != a.TargetIncarnation {
			continue
		}
		out = append(out, OpenAttempt{
			Key: r.Key, Attempt: a.Number, Kind: r.Kind, Pool: r.Pool, Idempotent: r.Idempotent,
			Host: a.Host, Address: a.Address, TargetIncarnation: a.TargetIncarnation,
			Owner: a.Owner, OwnerIncarnation: a.OwnerIncarnation,
			State: a.State, At: a.At, StopRequested: stopRequested(r), Released: a.Released,
			Checkpointable: r.Checkpointable, CheckpointOrdered: a.CheckpointOrdered,
		})
	}
	return out
}

func sortedRefs(set map[attemptRef]struct{}) []attemptRef {
	refs := make([]attemptRef, 0, len(set))
	for ref := range set {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	return refs
}

// Recent returns up to limit requests, latest claim first, then reduced ones,
// latest finished first.
func (s *State) Recent(limit int) []*model.Request {
	var out []*model.Request
	for e := s.claimOrder.Back(); e != nil && len(out) < limit; e = e.Prev() {
		out = append(out, e.Value.(*record).req)
	}
	return append(out, s.keys.recent(limit-len(out))...)
}

// Limits returns the limits in force.
func (s *State) Limits() Limits { return s.limits }

// Parked returns the parked requests in claim order.
func (s *State) Parked() []*model.Request {
	refs := make([]attemptRef, 0, len(s.parked))
	for rec := range s.parked {
		refs = append(refs, attemptRef{rec: rec})
	}
	return requestsOf(refs)
}

func requestsOf(refs []attemptRef) []*model.Request {
	sortRefs(refs)
	out := make([]*model.Request, len(refs))
	for i, ref := range refs {
		out[i] = ref.rec.req
	}
	return out
}

// NextExpiry returns the earliest time at which Expire changes the ledger.
func (s *State) NextExpiry() (hlc.Time, bool) {
	due, ok := s.nextExpiry()
	key, some := s.nextKeyExpiry()
	if some && (!ok || key.Before(due)) {
		return key, true
	}
	return due, ok
}

// nextExpiry returns the earliest expiry time of a request.
func (s *State) nextExpiry() (hlc.Time, bool) {
	if s.expiry.Len() == 0 {
		return hlc.Time{}, false
	}
	return s.expiryTime(s.expiry.items[0].req)
}

// nextKeyExpiry returns when the oldest retained key expires.
func (s *State) nextKeyExpiry() (hlc.Time, bool) {
	k, _, ok := s.keys.oldest()
	if !ok {
		return hlc.Time{}, false
	}
	return k.finished.Add(s.limits.KeyRetention), true
}

// AwaitingRetry returns, in claim order, the idempotent requests whose last attempt
// failed, was lost or did not begin and which await a Retry.
func (s *State) AwaitingRetry() []*model.Request {
	refs := make([]attemptRef, 0, len(s.awaitingRetry))
	for rec := range s.awaitingRetry {
		refs = append(refs, attemptRef{rec: rec})
	}
	return requestsOf(refs)
}
