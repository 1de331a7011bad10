package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"sort"
	"time"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

// Kinds of events of the ledger.
const (
	EventClaimed         event.Kind = "request_claimed"
	EventDispatched      event.Kind = "request_dispatched"
	EventQueued          event.Kind = "request_queued"
	EventParked          event.Kind = "request_parked"
	EventFinished        event.Kind = "request_finished"
	EventCancelRequested event.Kind = "request_cancel_requested"
	EventAttemptDecided  event.Kind = "attempt_decided"
	EventAttemptLost     event.Kind = "attempt_lost"
	// EventCheckpointOrdered records that an attempt is to end at a checkpoint.
	EventCheckpointOrdered event.Kind = "checkpoint_ordered"
)

// Actors of events: the ledger's own rules, and the placement policy.
const (
	actorLedger    = "ledger"
	actorPlacement = "placement"
)

// Backoff of a non-idempotent request whose target refused the start: it
// doubles with each refusal in a row, so that a target that refuses every
// start does not fill the log with dispatches.
const (
	refusedBackoff    = 100 * time.Millisecond
	maxRefusedBackoff = 5 * time.Second
)

// Result is what the proposer of a command gets back.
type Result struct {
	// Request is the request after the command, if it names one.
	Request *model.Request
	// Dispatched lists the items of a Dispatch that were accepted.
	Dispatched []DispatchItem
	Err        error
}

// Apply applies one committed command to the ledger. It is deterministic. A
// command that is refused has no effect.
func (s *State) Apply(c ApplyContext, cmd *Command) (Result, []event.Event) {
	l := &eventLog{ctx: c}
	var res Result
	switch {
	case cmd.Claim != nil:
		res = s.claim(l, cmd.Claim)
	case cmd.Dispatch != nil:
		res = s.dispatch(l, cmd.Dispatch)
	case cmd.Report != nil:
		for i := range cmd.Report.Reports {
			s.report(l, &cmd.Report.Reports[i])
		}
	case cmd.Cancel != nil:
		res = s.cancel(l, cmd.Cancel)
	case cmd.Expire != nil:
		s.expire(l)
	case cmd.Park != nil:
		res = s.park(l, cmd.Park)
	case cmd.Retry != nil:
		res = s.retry(l, cmd.Retry)
	case cmd.SetLimits != nil:
		s.setLimits(*cmd.SetLimits)
	case cmd.Checkpoint != nil:
		s.orderCheckpoints(l, cmd.Checkpoint)
	default:
		res.Err = &fault.Invalid{Field: "command", Reason: "no field is set"}
	}
	return res, l.events
}

// digest identifies the body of a claim. Lengths precede the fields, so that
// different bodies never give the same input.
func digest(c *Claim) string {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(c.Kind), []byte(c.Team), c.Payload} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = h.Write(field)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (s *State) claim(l *eventLog, cl *Claim) Result {
	sum := digest(cl)
	if rec, ok := s.requests[cl.Key]; ok {
		if rec.req.Digest != sum {
			return Result{Err: &fault.KeyReused{Key: cl.Key}}
		}
		return Result{Request: rec.req}
	}
	if r, ok := s.retained(cl.Key); ok {
		if r.Digest != sum {
			return Result{Err: &fault.KeyReused{Key: cl.Key}}
		}
		return Result{Request: r}
	}
	kind, err := s.admit(l.ctx, cl)
	if err != nil {
		return Result{Err: err}
	}
	r := &model.Request{
		Key: cl.Key, Digest: sum, Kind: cl.Kind, Team: cl.Team, Pool: kind.Pool,
		Priority: kind.Priority, Idempotent: kind.Idempotent, MaxAttempts: kind.MaxAttempts,
		Payload: cl.Payload, Claimed: l.ctx.Time, Deadline: cl.Deadline, State: model.RequestQueued,
		CPUMillis: kind.CPUMillis, MemoryMB: kind.MemoryMB, Accelerators: kind.Accelerators,
		Checkpointable: kind.Checkpointable && kind.Idempotent,
	}
	if r.Priority != model.Urgent && r.Priority != model.Patient {
		r.Priority = model.Normal
	}
	s.seq++
	s.insert(&record{seq: s.seq, req: r})
	l.add(EventClaimed, r, "", 0, cl.Team, "")
	return Result{Request: r}
}

// admit checks a new claim against the catalogue and the limits.
func (s *State) admit(c ApplyContext, cl *Claim) (*model.JobKind, error) {
	switch {
	case cl.Key == "":
		return nil, &fault.Invalid{Field: "key", Reason: "is empty"}
	case !cl.Deadline.IsZero() && cl.Deadline.Compare(c.Time) <= 0:
		return nil, &fault.Invalid{Field: "deadline", Reason: "has passed", Allowed: "after " + c.Time.String()}
	case len(cl.Payload) > s.limits.MaxPayloadBytes:
		return nil, &fault.LimitExceeded{What: "payload of a request in bytes", Limit: int64(s.limits.MaxPayloadBytes)}
	case c.Catalogue == nil || c.Catalogue.JobKinds[cl.Kind] == nil:
		return nil, &fault.NotFound{Kind: "job kind", Name: cl.Kind}
	}
	kind := c.Catalogue.JobKinds[cl.Kind]
	if c.Catalogue.Pools[kind.Pool] == nil {
		return nil, &fault.NotFound{Kind: "pool", Name: kind.Pool}
	}
	if len(s.requests) >= s.limits.MaxRequests {
		return nil, &fault.LimitExceeded{What: "ledger in requests", Limit: int64(s.limits.MaxRequests)}
	}
	if !kind.Idempotent && s.limits.MaxKeys > 0 && s.KeyCount() >= s.limits.MaxKeys {
		return nil, &fault.LimitExceeded{What: "keys of non-idempotent requests", Limit: int64(s.limits.MaxKeys)}
	}
	if s.waiting.pool[kind.Pool] >= s.limits.MaxQueuedPerPool {
		return nil, &fault.LimitExceeded{What: "queue of pool " + kind.Pool, Limit: int64(s.limits.MaxQueuedPerPool)}
	}
	if s.stored+int64(len(cl.Payload)) > s.limits.MaxStoredBytes {
		return nil, &fault.LimitExceeded{What: "payloads and answers of the ledger in bytes", Limit: s.limits.MaxStoredBytes}
	}
	if q := c.Catalogue.Quotas[cl.Team]; q != nil && q.MaxQueued > 0 && s.waiting.team[cl.Team] >= q.MaxQueued {
		return nil, &fault.LimitExceeded{What: "queued requests of team " + cl.Team, Limit: int64(q.MaxQueued)}
	}
	return kind, nil
}

func (s *State) dispatch(l *eventLog, d *Dispatch) Result {
	var res Result
	for _, item := range d.Items {
		rec := s.requests[item.Key]
		if rec == nil {
			continue
		}
		if item.CPUMillis == 0 {
			item.CPUMillis = rec.req.CPUMillis
		}
		if item.MemoryMB == 0 {
			item.MemoryMB = rec.req.MemoryMB
		}
		host, ok := s.eligible(l.ctx, rec.req, &item)
		if !ok {
			continue
		}
		r := s.update(rec, func(r *model.Request) {
			r.State = model.RequestDispatched
			r.Reason = ""
			r.Attempts = append(r.Attempts, model.Attempt{
				Number: item.Attempt, Host: item.Host, Address: host.Info.Address,
				TargetIncarnation: host.Info.Incarnation,
				Owner:             item.Owner, OwnerIncarnation: item.OwnerIncarnation,
				State: model.AttemptAssigned, At: l.ctx.Time, Reason: item.Reason,
				CPUMillis: item.CPUMillis, MemoryMB: item.MemoryMB,
				FromCheckpoint: len(r.Checkpoint) > 0 && host.Info.Can(model.CapabilityCheckpoint),
			})
			trimAttempts(r)
		})
		s.setCurrentIncarnation(item.Host, host.Info.Incarnation)
		l.add(EventDispatched, r, item.Host, item.Attempt, actorPlacement, item.Reason)
		res.Dispatched = append(res.Dispatched, item)
	}
	return res
}

// eligible checks a dispatch decision again on apply, since the request, the
// host or its load may have changed since the leader decided.
func (s *State) eligible(c ApplyContext, r *model.Request, item *DispatchItem) (model.Host, bool) {
	if r.State != model.RequestQueued || item.Attempt != nextAttempt(r) || item.Owner == "" || !mayRetry(r) {
		return model.Host{}, false
	}
	if c.Time.Before(r.NotBefore) || (!endedByCheckpoint(r) && !r.Deadline.IsZero() && r.Deadline.Compare(c.Time) <= 0) {
		return model.Host{}, false
	}
	host, ok := c.Hosts.Host(item.Host)
	probes := item.Probe && r.Idempotent && host.State == model.HostSetAside
	if !ok || host.Info.Leaving || (host.State != model.HostReady && !probes) {
		return model.Host{}, false
	}
	lender := item.LentBy
	if lender == "" {
		lender = r.Pool
	}
	if host.Pool != lender || !s.fits(&host, r, item) {
		return model.Host{}, false
	}
	if c.Catalogue != nil {
		q := c.Catalogue.Quotas[r.Team]
		if q != nil && q.MaxRunning > 0 && s.running.team[r.Team] >= q.MaxRunning {
			return model.Host{}, false
		}
	}
	return host, true
}

// fits checks that the host has a slot and the resources for one more attempt.
func (s *State) fits(host *model.Host, r *model.Request, item *DispatchItem) bool {
	var l load
	if h := s.hosts[item.Host]; h != nil {
		l = h.loads[host.Info.Incarnation]
	}
	return l.slots < host.Info.Slots &&
		l.cpuMillis+item.CPUMillis <= host.Info.CPUMillis &&
		l.memoryMB+item.MemoryMB <= host.Info.MemoryMB &&
		l.accelerators+r.Accelerators <= host.Info.Accelerators
}

// report applies the result of one attempt. Reports for attempts that do not
// exist or have ended have no effect; an attempt in state unknown takes any
// later result.
func (s *State) report(l *eventLog, rep *model.AttemptReport) {
	rec := s.requests[rep.Key]
	if rec == nil || rep.State == model.AttemptAssigned {
		return
	}
	a := findAttempt(rec.req, rep.Attempt)
	if a == nil || !isOpen(a.State) {
		return
	}
	if a.State == model.AttemptUnknown && rep.State == model.AttemptUnknown && rep.Released {
		s.update(rec, func(r *model.Request) { findAttempt(r, rep.Attempt).Released = true })
		return
	}
	if a.State == rep.State {
		return
	}
	state, reason, answer := rep.State, rep.Reason, rep.Answer
	switch state {
	case model.AttemptSucceeded, model.AttemptFailed, model.AttemptNotBegun, model.AttemptUnknown:
	case model.AttemptCheckpointed:
		if !a.CheckpointOrdered {
			// A target that stops tasks without an order must not get them again
			// outside of the retry limits.
			state, reason = model.AttemptFailed, "the target stopped it without an order: "+rep.Reason
		}
	default:
		return
	}
	if state != model.AttemptSucceeded && state != model.AttemptFailed {
		answer = nil
	}
	oversized := len(answer) > s.limits.MaxAnswerBytes
	if oversized {
		// The run has ended, but a truncated answer must not look complete.
		reason = fmt.Sprintf("answer of %d bytes exceeds the limit of %d bytes", len(answer), s.limits.MaxAnswerBytes)
		answer = nil
		if state == model.AttemptSucceeded {
			state = model.AttemptFailed
		}
	}
	checkpoint := rep.Checkpoint
	if state != model.AttemptCheckpointed || len(checkpoint) > model.MaxCheckpointBytes {
		checkpoint = nil
	}
	s.applyResult(l, rec, rep.Attempt, attemptResult{EventAttemptDecided, state, reason, answer, oversized, checkpoint})
}

// attemptResult is the result of one attempt. final forbids another attempt.
type attemptResult struct {
	kind       event.Kind
	state      model.AttemptState
	reason     string
	answer     []byte
	final      bool
	checkpoint []byte
}

func (s *State) applyResult(l *eventLog, rec *record, number int, d attemptResult) {
	old := rec.req
	r := s.update(rec, func(r *model.Request) {
		a := findAttempt(r, number)
		a.State, a.Reason = d.state, d.reason
		updateCheckpoint(r, a, d.checkpoint)
		advanceRequest(l.ctx, r, a, d.answer, d.final)
	})
	l.add(d.kind, r, findAttempt(r, number).Host, number, actorLedger, string(d.state)+": "+d.reason)
	s.addTransitionEvent(l, old, r)
}

// addTransitionEvent adds the event for the state or outcome that a request has
// reached.
func (s *State) addTransitionEvent(l *eventLog, old, r *model.Request) {
	switch {
	case old.State == r.State && old.Outcome == r.Outcome:
	case r.State == model.RequestFinished:
		l.add(EventFinished, r, "", 0, actorLedger, string(r.Outcome)+": "+r.Reason)
	case r.State == model.RequestQueued:
		l.add(EventQueued, r, "", 0, actorLedger, r.Reason)
	}
}

// advanceRequest updates the state of a request after the result of one of its
// attempts.
func advanceRequest(c ApplyContext, r *model.Request, a *model.Attempt, answer []byte, final bool) {
	outcome, succeeded := outcomeOf(r)
	switch {
	case r.State == model.RequestFinished:
		// Only an unknown outcome may still change.
		if r.Outcome == model.OutcomeUnknown && outcome != model.OutcomeUnknown {
			finish(c, r, a.Reason)
			r.Answer = answer
		}
	case succeeded:
		finish(c, r, a.Reason)
		r.Answer = answer
	case r.State != model.RequestDispatched || hasAttempt(r, model.AttemptAssigned):
		// Another attempt is queued or assigned; its result decides.
	case requeuesAtOnce(r, a) && !final && mayRetry(r):
		r.State, r.Reason, r.Answer = model.RequestQueued, a.Reason, nil
	case outcome == model.OutcomeDone && (final || !mayRetry(r)):
		finish(c, r, a.Reason)
		r.Answer = answer
	case !mayRetry(r):
		finish(c, r, a.Reason)
	case r.Idempotent:
		// The leader decides with a Retry command; a failed attempt's answer is
		// kept in case it refuses the retry.
		r.Reason = a.Reason
		r.Answer = answer
	default:
		r.State = model.RequestQueued
		r.Reason = a.Reason
		r.NotBefore = c.Time.Add(refusalBackoff(r))
	}
}

// refusalBackoff returns the delay after a refused start. It doubles with each
// attempt before it that did not begin either.
func refusalBackoff(r *model.Request) time.Duration {
	d := refusedBackoff
	for i := len(r.Attempts) - 2; i >= 0 && r.Attempts[i].State == model.AttemptNotBegun; i-- {
		d = min(2*d, maxRefusedBackoff)
	}
	return d
}

// finish ends a request with the outcome that its attempts prove. The payload is
// no longer needed, since the digest identifies a repeated claim.
func finish(c ApplyContext, r *model.Request, reason string) {
	r.State = model.RequestFinished
	r.Outcome, r.Succeeded = outcomeOf(r)
	r.Reason = reason
	r.Finished = c.Time
	r.Payload, r.Checkpoint = nil, nil
}

func (s *State) cancel(l *eventLog, cn *Cancel) Result {
	rec := s.requests[cn.Key]
	if rec == nil {
		if r, ok := s.retained(cn.Key); ok {
			return Result{Request: r}
		}
		return Result{Err: &fault.NotFound{Kind: "request", Name: cn.Key}}
	}
	if rec.req.State == model.RequestFinished || rec.req.CancelRequested {
		return Result{Request: rec.req}
	}
	r := s.update(rec, func(r *model.Request) {
		r.CancelRequested = true
		if !hasAttempt(r, model.AttemptAssigned) {
			finish(l.ctx, r, "cancelled by "+cn.Actor)
		}
	})
	if r.State == model.RequestFinished {
		l.add(EventFinished, r, "", 0, cn.Actor, string(r.Outcome)+": "+r.Reason)
	} else {
		l.add(EventCancelRequested, r, "", 0, cn.Actor, "cancelled by "+cn.Actor)
	}
	return Result{Request: r}
}

// expire handles every request whose expiry time has passed, in the order of
// these times, then the retained keys.
func (s *State) expire(l *eventLog) {
	for {
		at, ok := s.nextExpiry()
		if !ok || l.ctx.Time.Before(at) {
			break
		}
		rec := s.expiry.items[0]
		switch {
		case rec.req.State != model.RequestFinished:
			reason := "deadline passed while " + string(rec.req.State)
			if rec.req.Reason != "" {
				reason += ": " + rec.req.Reason
			}
			r := s.update(rec, func(r *model.Request) { finish(l.ctx, r, reason) })
			l.add(EventFinished, r, "", 0, actorLedger, string(r.Outcome)+": "+reason)
		case s.reducible(rec.req):
			s.reduce(rec)
		case len(rec.req.Answer) > 0:
			s.update(rec, func(r *model.Request) {
				r.Answer = nil
				r.Reason = "answer dropped after its retention"
			})
		default:
			s.removeRecord(rec)
		}
	}
	for {
		at, ok := s.nextKeyExpiry()
		if !ok || l.ctx.Time.Before(at) {
			return
		}
		s.keys.dropOldest()
	}
}

// reduce replaces a finished request by its retained key.
func (s *State) reduce(rec *record) {
	// Claim and Restore admit only digests that can be retained. Any other
	// would become the zero digest, with which every resend is refused.
	k, _ := newRetainedKey(rec.req)
	s.keys.add(&k)
	s.removeRecord(rec)
}

func (s *State) park(l *eventLog, p *Park) Result {
	rec := s.requests[p.Key]
	if rec == nil {
		return Result{Err: s.notOpenError(p.Key, "park of ")}
	}
	from, to, kind := model.RequestQueued, model.RequestParked, EventParked
	if p.Reason == "" {
		from, to, kind = to, from, EventQueued
	}
	if rec.req.State != from {
		return Result{Err: &fault.Precondition{What: "park of " + p.Key, Reason: "request is " + string(rec.req.State)}}
	}
	r := s.update(rec, func(r *model.Request) {
		r.State = to
		r.Reason = p.Reason
	})
	l.add(kind, r, "", 0, actorLedger, p.Reason)
	return Result{Request: r}
}

// notOpenError returns the error of a command that needs an open request whose
// key is not in the table of requests.
func (s *State) notOpenError(key, what string) error {
	if _, ok := s.retained(key); ok {
		return &fault.Precondition{What: what + key, Reason: "request is " + string(model.RequestFinished)}
	}
	return &fault.NotFound{Kind: "request", Name: key}
}

func (s *State) retry(l *eventLog, rt *Retry) Result {
	rec := s.requests[rt.Key]
	if rec == nil {
		return Result{Err: s.notOpenError(rt.Key, "retry of ")}
	}
	last := lastAttempt(rec.req)
	if !awaitsRetry(rec.req) || last == nil || last.Number != rt.Attempt {
		return Result{Err: &fault.Precondition{
			What: "retry of " + rt.Key, Reason: "the attempt is not the last one or has not ended",
		}}
	}
	if !rt.Refused && !mayRetry(rec.req) {
		return Result{Err: &fault.Precondition{
			What: "retry of " + rt.Key, Reason: "an attempt may have begun and the request allows no further one",
		}}
	}
	old := rec.req
	r := s.update(rec, func(r *model.Request) {
		if rt.Refused {
			finish(l.ctx, r, rt.Reason)
			return
		}
		r.State = model.RequestQueued
		r.NotBefore = rt.NotBefore
		r.Reason = rt.Reason
		r.Answer = nil
	})
	s.addTransitionEvent(l, old, r)
	return Result{Request: r}
}

// HostLost makes the attempts on a host unknown, when its lease expired or it
// announced a new incarnation. It covers the attempts on the given incarnation
// and those on any incarnation but the host's current one. Their slots are held
// until a report or a new incarnation proves that the attempt has ended.
func (s *State) HostLost(c ApplyContext, host, incarnation, reason string) []event.Event {
	l := &eventLog{ctx: c}
	h := s.hosts[host]
	if h == nil {
		return nil
	}
	current, known := c.Hosts.Host(host)
	if known {
		s.setCurrentIncarnation(host, current.Info.Incarnation)
	}
	refs := make([]attemptRef, 0, len(h.refs))
	for ref := range h.refs {
		a := findAttempt(ref.rec.req, ref.number)
		stale := known && a.TargetIncarnation != current.Info.Incarnation
		if a.State == model.AttemptAssigned && (a.TargetIncarnation == incarnation || stale) {
			refs = append(refs, ref)
		}
	}
	sortRefs(refs)
	for _, ref := range refs {
		s.applyResult(l, ref.rec, ref.number, attemptResult{kind: EventAttemptLost, state: model.AttemptUnknown, reason: reason})
	}
	return l.events
}

func sortRefs(refs []attemptRef) {
	sort.Slice(refs, func(i, j int) bool {
		if refs[i].rec.seq != refs[j].rec.seq {
			return refs[i].rec.seq < refs[j].rec.seq
		}
		return refs[i].number < refs[j].number
	})
}
