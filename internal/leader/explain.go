package leader

import (
	"maps"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// explainPause is the least time between two explanations. Each holds the leader's mutex for as
// long as a plan takes, so that they delay plans for a small share of the time.
const explainPause = 200 * time.Millisecond

// Question asks where a job would go.
type Question struct {
	// Job is the id of an accepted job that is not finished. If it is empty, Hypothesis
	// describes a job.
	Job        string          `cbor:"1,keyasint,omitempty"`
	Hypothesis work.Hypothesis `cbor:"2,keyasint"`
}

// Explanation tells where a job would go now, and why.
type Explanation struct {
	// Accepted is set for an accepted job. Any other would become Refusal if it were submitted.
	Job      string `cbor:"1,keyasint,omitempty" json:"job"`
	Accepted bool   `cbor:"2,keyasint,omitempty" json:"accepted"`
	Queue    string `cbor:"3,keyasint" json:"queue"`
	Pool     string `cbor:"4,keyasint" json:"pool"`
	// Refusal is the error with which the job would be refused, nil if it would be accepted.
	Refusal error `cbor:"-" json:"-"`
	// ExpectedMS is the expected duration of its longest chain of steps, and ObjectiveMS is how
	// long the job may take. Both are 0 for long-lived jobs.
	ExpectedMS  int64 `cbor:"5,keyasint,omitempty" json:"expected_ms"`
	ObjectiveMS int64 `cbor:"6,keyasint,omitempty" json:"objective_ms"`
	// BacklogMS is how long the pool takes for the jobs that it has accepted, as far as its
	// capacity is known.
	BacklogMS int64 `cbor:"7,keyasint,omitempty" json:"backlog_ms"`
	// PolicyNotAsked is set if the policy service would be asked about the hosts of a job that
	// is not accepted. The explanation takes it to permit all.
	PolicyNotAsked bool                 `cbor:"8,keyasint,omitempty" json:"policy_not_asked,omitempty"`
	Plan           schedule.Explanation `cbor:"9,keyasint" json:"plan"`
	// Excluded groups the hosts that take no new runs of the pool, whatever the job.
	Excluded []schedule.HostGroup `cbor:"10,keyasint,omitempty" json:"excluded,omitempty"`
	// FitsNoHost lists the steps of which no host of the region can take a task, also if empty.
	FitsNoHost []int `cbor:"11,keyasint,omitempty" json:"fits_no_host,omitempty"`
	// Share is that of the job's customer, nil if it has none.
	Share *CustomerShare `cbor:"12,keyasint,omitempty" json:"share,omitempty"`
}

// CustomerShare is what a customer has of a pool and may have.
type CustomerShare struct {
	Customer string  `cbor:"1,keyasint" json:"customer"`
	Weight   float64 `cbor:"2,keyasint" json:"weight"`
	// PoolWeight is the sum of the weights of the customers that have jobs in the pool, with
	// this one.
	PoolWeight float64 `cbor:"3,keyasint" json:"pool_weight"`
	// MilliCPU is what the customer's runs in the pool reserve, and PoolMilliCPU is that of all
	// runs in the pool, in thousandths of a core.
	MilliCPU     int64 `cbor:"4,keyasint,omitempty" json:"cpu_millis"`
	PoolMilliCPU int64 `cbor:"5,keyasint,omitempty" json:"pool_cpu_millis"`
	// Limit bounds Running, what its runs ask for in all pools. A resource of 0 has no limit.
	Limit   work.Demand `cbor:"6,keyasint" json:"limit"`
	Running work.Demand `cbor:"7,keyasint" json:"running"`
	// BeyondAllowance is set if the customer hands in more jobs than it is owed.
	BeyondAllowance bool `cbor:"8,keyasint,omitempty" json:"beyond_allowance"`
}

// Explain tells where a job would go now, and why. It proposes nothing, sends nothing, asks the
// policy service nothing and leaves all counts and estimates as they are. One explanation is
// made at a time, explainPause after the last at the earliest. Errors: *fault.Unavailable if
// another one is being made, or without a configuration; *fault.NotFound for a job, queue or
// customer; *fault.Invalid.
func (l *Leader) Explain(q *Question) (*Explanation, error) {
	if !l.explanations.begin(l.now()) {
		return nil, &fault.Unavailable{What: "explanation", Reason: "another one is being made"}
	}
	defer func() { l.explanations.end(l.now()) }()
	var job *work.Job
	var refusal error
	if q.Job == "" {
		var err error
		if job, refusal, err = l.cfg.StateMachine.Suppose(&q.Hypothesis, l.nowMS()); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out *Explanation
	l.cfg.StateMachine.Read(func(v *work.View) {
		if q.Job != "" {
			job = v.Live[q.Job]
		}
		if job == nil || job.State.Final() {
			return
		}
		out = l.explain(v, job, q.Job != "")
		out.Refusal = refusal
		if refusal == nil && !out.Accepted && l.competes(job) {
			out.Refusal = l.checkRoom(job)
		}
	})
	if out == nil {
		return nil, &fault.NotFound{Kind: "job", Name: q.Job}
	}
	return out, nil
}

// explain explains a job, which is accepted or new. The mutex is held.
func (l *Leader) explain(v *work.View, j *work.Job, accepted bool) *Explanation {
	out := &Explanation{
		Job: j.ID, Accepted: accepted, Queue: j.Queue, Pool: j.Pool, PolicyNotAsked: j.PolicyChecked && !accepted,
		BacklogMS: l.timeFor(j.Pool, l.admissions.backlogs[j.Pool].Counting).Milliseconds(),
	}
	if !j.Spec.LongLived() {
		out.ExpectedMS, out.ObjectiveMS = schedule.Objective(j, l.estimates.expected)
	}
	further := j
	if accepted {
		further = nil
	}
	r, _ := l.planRequest(v, func() map[string]bool { return l.fleet.away }, further)
	r.Permitted = func(other *work.Job, t *work.Task, target *work.Target, _ []*schedule.Host) bool {
		if !other.PolicyChecked || other == further {
			return true
		}
		_, ok := l.permits.ticket(stepRef(other.Ref(t)), target.ID, l.now())
		return ok
	}
	out.Share = l.shareOf(v, j, r.Jobs)
	out.Excluded = l.excludedHosts(v, j.Pool)
	out.FitsNoHost = schedule.FitsNoHost(j, r.HostTypes())
	out.Plan = *schedule.Explain(r, j)
	return out
}

// shareOf returns the share of a job's customer, or nil if it has none. jobs holds all jobs. The
// mutex is held.
func (l *Leader) shareOf(v *work.View, j *work.Job, jobs []*work.Job) *CustomerShare {
	all := accounts(v)
	own := all[j.Customer]
	if own == nil {
		return nil
	}
	out := &CustomerShare{
		Customer: j.Customer, Weight: own.Weight, Limit: own.Limit, Running: own.Used, BeyondAllowance: j.BeyondAllowance,
	}
	weights := map[string]float64{j.Customer: own.Weight}
	for _, other := range jobs {
		if other.Pool != j.Pool {
			continue
		}
		if a := all[other.Customer]; a != nil {
			weights[other.Customer] = a.Weight
		}
		for i := range other.Tasks {
			if t := &other.Tasks[i]; t.Active() {
				cpu := other.Spec.Steps[t.Step].Reserved().MilliCPU
				out.PoolMilliCPU += cpu
				if other.Customer == j.Customer {
					out.MilliCPU += cpu
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		out.PoolWeight += weights[name] // in one order, so that the sum is the same each time
	}
	return out
}

// Reasons for which a host without a usable target takes no runs of a pool.
const (
	reasonMaintenance = "in maintenance"
	reasonMoving      = "is on its way to the pool"
	reasonNoTarget    = "no target has announced itself"
	reasonOtherPool   = "belongs to pool "
)

// excludedHosts groups the hosts of the region that take no new runs of a pool. The mutex is
// held.
func (l *Leader) excludedHosts(v *work.View, pool string) []schedule.HostGroup {
	var groups schedule.HostGroups
	withTarget := map[string]bool{}
	for key, t := range v.Targets {
		if t.Ended {
			continue
		}
		withTarget[t.Host] = true
		if t.Pool != pool {
			groups.Add(reasonOtherPool+t.Pool, t.Host, nil)
		} else if reason := l.exclusionReason(v, key, t, l.fleet.away); reason != "" {
			groups.Add(reason, t.Host, nil)
		}
	}
	inMaintenance := l.fleet.hostsInMaintenance()
	for name, h := range l.fleet.hosts {
		switch {
		case withTarget[name] || h.unlisted:
		case inMaintenance[name]:
			groups.Add(reasonMaintenance, name, nil)
		case h.state.Pool != pool:
			groups.Add(reasonOtherPool+h.state.Pool, name, nil)
		case !h.away.IsZero():
			groups.Add(reasonMoving, name, nil)
		default:
			groups.Add(reasonNoTarget, name, nil)
		}
	}
	return groups.List()
}

// explanations lets one explanation be made at a time. Who holds the slot may read ended.
type explanations struct {
	slot  chan struct{}
	ended time.Time // that of the last one
}

func newExplanations() *explanations { return &explanations{slot: make(chan struct{}, 1)} }

// begin reports whether an explanation may be made now.
func (e *explanations) begin(now time.Time) bool {
	select {
	case e.slot <- struct{}{}:
	default:
		return false
	}
	if !e.ended.IsZero() && now.Sub(e.ended) < explainPause {
		<-e.slot
		return false
	}
	return true
}

// end ends an explanation.
func (e *explanations) end(now time.Time) {
	e.ended = now
	<-e.slot
}
