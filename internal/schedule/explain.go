package schedule

import (
	"cmp"
	"maps"
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// maxExplainedSteps bounds the steps of an explanation.
	maxExplainedSteps = 32
	// maxNamedHosts bounds the names in a group of hosts.
	maxNamedHosts = 20
	// maxNamedPlaces bounds the kept places that are named.
	maxNamedPlaces = 20
)

// Explanation tells what a plan does with one job, and why.
type Explanation struct {
	// Status is the name of the job's deadline status.
	Status string `cbor:"1,keyasint" json:"status"`
	// Ahead is the number of jobs of its pool that the plan served before the job, and
	// StartsAhead that of the starts which it made for them and for the jobs of other pools.
	Ahead       int `cbor:"2,keyasint" json:"jobs_ahead"`
	StartsAhead int `cbor:"3,keyasint" json:"starts_ahead"`
	// Steps are those of the job's first occurrence that is not done. MoreSteps counts those
	// that are left out.
	Steps     []StepExplanation `cbor:"4,keyasint" json:"steps"`
	MoreSteps int               `cbor:"5,keyasint,omitempty" json:"more_steps,omitempty"`
	// Places are those that the pool keeps for tasks that no host has room for, those of the job
	// first.
	Places []KeptPlace `cbor:"6,keyasint,omitempty" json:"places,omitempty"`
}

// KeptPlace is a place that a pool keeps on a host for tasks of a step.
type KeptPlace struct {
	Job   string `cbor:"1,keyasint" json:"job"`
	Step  int    `cbor:"2,keyasint" json:"step"`
	Host  string `cbor:"3,keyasint" json:"host"`
	Tasks int    `cbor:"4,keyasint" json:"tasks"`
	// FreeInMS is when the host is expected to have room, from now, and LateMS how much later
	// that is than when the place was first kept.
	FreeInMS int64 `cbor:"5,keyasint,omitempty" json:"free_in_ms"`
	LateMS   int64 `cbor:"6,keyasint,omitempty" json:"late_ms"`
	// Moves is how many earlier places of the step did not come free in time.
	Moves int `cbor:"7,keyasint,omitempty" json:"moves"`
}

// StepExplanation tells where the tasks of a step would start.
type StepExplanation struct {
	Step  int `cbor:"1,keyasint" json:"step"`
	Tasks int `cbor:"2,keyasint" json:"tasks"`
	// Done and Running count the tasks that need no start.
	Done    int `cbor:"3,keyasint,omitempty" json:"done"`
	Running int `cbor:"4,keyasint,omitempty" json:"running"`
	// Starts are the hosts on which tasks start now, and Waiting counts those that do not.
	Starts  []HostTasks `cbor:"5,keyasint,omitempty" json:"starts,omitempty"`
	Waiting int         `cbor:"6,keyasint,omitempty" json:"waiting"`
	// Why is why tasks wait, empty if none does.
	Why WaitReason `cbor:"7,keyasint,omitempty" json:"why,omitempty"`
	// Hosts are the usable hosts of the pool on which no task of the step starts, by what keeps
	// the first task that waits from them, or the first task if none waits. They are left out
	// for a step that cannot start yet.
	Hosts []HostGroup `cbor:"8,keyasint,omitempty" json:"hosts,omitempty"`
}

// HostTasks is a number of tasks that start on a host.
type HostTasks struct {
	Host  string `cbor:"1,keyasint" json:"host"`
	Tasks int    `cbor:"2,keyasint" json:"tasks"`
}

// HostGroup is a group of hosts that are ruled out for the same reason.
type HostGroup struct {
	Reason string `cbor:"1,keyasint" json:"reason"`
	Count  int    `cbor:"2,keyasint" json:"count"`
	// Hosts names the first of them.
	Hosts []string `cbor:"3,keyasint" json:"hosts"`
	// MostFree is the free capacity of the host that has the most free CPU, nil if that is not
	// known.
	MostFree *work.Demand `cbor:"4,keyasint,omitempty" json:"most_free,omitempty"`
}

// WaitReason is why tasks of a step do not start in a plan.
type WaitReason string

// Reasons for which tasks wait.
const (
	WaitsForSteps  WaitReason = "earlier steps are not done"
	WaitsForTime   WaitReason = "is not due yet"
	WaitsForGang   WaitReason = "members of the gang still run"
	WaitsForLimit  WaitReason = "the customer's limit"
	WaitsForPlan   WaitReason = "the plan is full: other starts go first"
	WaitsForRoom   WaitReason = "no host takes it"
	WaitsForAll    WaitReason = "no hosts for all members of the gang at the same time"
	WaitsForPlaces WaitReason = "hosts with room keep places for other tasks"
	WaitsForPolicy WaitReason = "the policy service has permitted no host yet"
)

// Reasons for which a usable host takes no task, beside its obstacles.
const (
	ReasonSuitsLess    = "has room, others suit better"
	ReasonHasRoom      = "has room"
	ReasonKeepsPlace   = "keeps a place for other tasks"
	ReasonFailedThere  = "a run of the task failed there"
	ReasonDenied       = "denied by the policy service"
	ReasonNotPermitted = "not permitted by the policy service yet"
)

var statusNames = map[DeadlineStatus]string{
	LongLived: "long-lived", InTime: "in time", Postponed: "postponed", Late: "late", Overdue: "overdue",
}

// explaining records what a plan does with one job. A nil value records nothing.
type explaining struct {
	job *work.Job
	out *Explanation
	// hosts are copies of the pool's hosts, and account one of the customer's account, as they
	// were when it was the job's turn. The places that the hosts keep are those of its end, since
	// they are found when a task is about to take a host.
	hosts   []Host
	account *Account
	seen    bool
}

// Explain makes a plan and tells what it does with a job, which is added to the jobs of the
// request if they lack it. Like Plan it changes nothing but the request. It takes as long as a
// plan and a look at each host of the pool for each of the job's steps.
func Explain(r *Request, j *work.Job) *Explanation {
	e := &explaining{job: j, out: &Explanation{}}
	if !slices.Contains(r.Jobs, j) {
		r.Jobs = append(r.Jobs, j)
	}
	r.explaining = e
	starts := Plan(r)
	if !e.seen {
		// The plan was full before it was the job's turn, or the job has no task to start.
		e.note(r)
		e.out.Status, e.out.StartsAhead = statusNames[r.rank(j).rank], len(starts)
	}
	e.explainSteps(r, starts)
	e.explainPlaces(r)
	return e.out
}

// beforeJob is called when it is a job's turn in a plan.
func (e *explaining) beforeJob(r *Request, u *urgency, starts int) {
	switch {
	case e == nil || e.seen:
	case u.job == e.job:
		e.seen = true
		e.note(r)
		e.out.Status, e.out.StartsAhead = statusNames[u.rank], starts
	case u.job.Pool == e.job.Pool:
		e.out.Ahead++
	}
}

// afterJob is called when a plan has served a job.
func (e *explaining) afterJob(r *Request, j *work.Job) {
	if e == nil || j != e.job {
		return
	}
	for i, h := range r.poolOf(j.Pool).hosts {
		if h.kept != nil {
			kept := *h.kept
			e.hosts[i].kept = &kept
		}
	}
}

// explainPlaces names the places that the job's pool keeps.
func (e *explaining) explainPlaces(r *Request) {
	pools := map[string]string{}
	for _, j := range r.Jobs {
		pools[j.ID] = j.Pool
	}
	for _, k := range r.Kept {
		if pools[k.Job] != e.job.Pool {
			continue
		}
		e.out.Places = append(e.out.Places, KeptPlace{
			Job: k.Job, Step: k.Step, Host: k.Host, Tasks: k.Tasks, Moves: k.Moves,
			FreeInMS: max(0, k.FreeAtMS-r.NowMS), LateMS: max(0, k.FreeAtMS-k.PromisedMS),
		})
	}
	slices.SortStableFunc(e.out.Places, func(a, b KeptPlace) int { return compareBool(a.Job != e.job.ID, b.Job != e.job.ID) })
	e.out.Places = e.out.Places[:min(len(e.out.Places), maxNamedPlaces)]
}

// note copies the state of the plan.
func (e *explaining) note(r *Request) {
	for _, h := range r.poolOf(e.job.Pool).hosts {
		e.hosts = append(e.hosts, *h)
		e.hosts[len(e.hosts)-1].kept = nil
	}
	if a := r.account(e.job); a != nil {
		e.account = &Account{Weight: a.Weight, Limit: a.Limit, Used: a.Used}
	}
}

// explainSteps explains the steps of the job's first occurrence with tasks that are not done,
// in the order in which the plan placed them.
func (e *explaining) explainSteps(r *Request, starts []work.Start) {
	j := e.job
	occurrence := 0
	for i := range j.Tasks {
		if t := &j.Tasks[i]; !t.Done {
			occurrence = t.Occurrence
			break
		}
	}
	placed := map[int]map[string]int{} // by step and target
	for _, s := range starts {
		if s.Task.Job != j.ID || s.Task.Occurrence != occurrence || !e.seen {
			continue
		}
		if placed[s.Task.Step] == nil {
			placed[s.Task.Step] = map[string]int{}
		}
		placed[s.Task.Step][s.Target]++
	}
	for i := range j.Spec.Steps {
		if len(e.out.Steps) == maxExplainedSteps {
			e.out.MoreSteps = len(j.Spec.Steps) - i
			return
		}
		e.out.Steps = append(e.out.Steps, e.explainStep(r, occurrence, i, placed[i]))
	}
}

// explainStep explains one step, of whose tasks some may be placed on targets.
func (e *explaining) explainStep(r *Request, occurrence, step int, placed map[string]int) StepExplanation {
	j := e.job
	s := &j.Spec.Steps[step]
	x := StepExplanation{Step: step, Tasks: s.Tasks}
	var pending []*work.Task
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.Occurrence != occurrence || t.Step != step:
			continue
		case t.Done:
			x.Done++
		case t.Active():
			x.Running++
		default:
			pending = append(pending, t)
		}
	}
	for i := range e.hosts {
		h := &e.hosts[i]
		if n := placed[h.Target.Key()]; n > 0 {
			x.Starts = append(x.Starts, HostTasks{h.Target.Host, n})
			h.add(s, int64(n))
			e.account.Add(s, n)
			x.Waiting -= n
		}
	}
	if x.Waiting += len(pending); len(pending) == 0 {
		return x
	}
	switch {
	case !j.Ready(pending[0]):
		x.Why = WaitsForSteps
	case j.Spec.Occurrences > 0 && r.TimeOfDayMS < j.Spec.FirstMS+int64(occurrence)*j.Spec.IntervalMS:
		x.Why = WaitsForTime
	case s.Gang && x.Running > 0:
		x.Why = WaitsForGang
	default:
		first := pending[0]
		if x.Waiting > 0 {
			first = pending[len(pending)-x.Waiting]
		}
		x.Hosts = e.groupHosts(r, first, s, placed, x.Waiting > 0)
		if x.Waiting > 0 {
			x.Why = e.waitReason(r, s, &x)
		}
	}
	return x
}

// waitReason returns why tasks wait that could start.
func (e *explaining) waitReason(r *Request, s *work.Step, x *StepExplanation) WaitReason {
	least := 1
	if s.Gang {
		least = s.Tasks
	}
	hasRoom, keepsPlace, unasked := false, false, false
	for _, g := range x.Hosts {
		hasRoom = hasRoom || g.Reason == ReasonHasRoom
		keepsPlace = keepsPlace || g.Reason == ReasonKeepsPlace
		unasked = unasked || g.Reason == ReasonNotPermitted
	}
	switch {
	case e.account.MayRun(s, least) < least:
		return WaitsForLimit
	case hasRoom && (!e.seen || r.full || e.out.StartsAhead+x.Tasks > r.MaxStarts):
		return WaitsForPlan
	case hasRoom && s.Gang:
		return WaitsForAll
	case !hasRoom && keepsPlace:
		return WaitsForPlaces
	case !hasRoom && unasked:
		return WaitsForPolicy
	}
	return WaitsForRoom
}

// groupHosts groups the usable hosts on which no task of the step starts. waits tells whether
// the task, the first one, waits.
func (e *explaining) groupHosts(r *Request, t *work.Task, s *work.Step, placed map[string]int, waits bool) []HostGroup {
	var groups HostGroups
	for i := range e.hosts {
		h := &e.hosts[i]
		if placed[h.Target.Key()] > 0 {
			continue
		}
		reason := e.ruledOut(r, h, t, s)
		if reason == ReasonHasRoom && !waits {
			reason = ReasonSuitsLess
		}
		groups.Add(reason, h.Target.Host, &h.Free)
	}
	return groups.List()
}

// ruledOut returns why a host is not a first choice for a task.
func (e *explaining) ruledOut(r *Request, h *Host, t *work.Task, s *work.Step) string {
	switch obstacle := h.Obstacle(e.job, t, s, 0); {
	case obstacle != "":
		return string(obstacle)
	case h.holdsBack(s.Reserved(), r.backfillEnd(r.poolOf(e.job.Pool), e.job, s, t.Step)):
		return ReasonKeepsPlace
	case t.FailedOn != "" && h.Target.Host == t.FailedOn:
		return ReasonFailedThere
	case r.Denied != nil && r.Denied(e.job, t, h.Target):
		return ReasonDenied
	case r.Permitted != nil && !r.Permitted(e.job, t, h.Target, nil):
		return ReasonNotPermitted
	}
	return ReasonHasRoom
}

// FitsNoHost returns the steps of a job of which no type of host can take a task, also if the
// host is empty. It returns none while no type is known.
func FitsNoHost(j *work.Job, types []HostType) (steps []int) {
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		need := Need{Demand: s.Reserved(), Label: s.Label}
		if len(types) > 0 && !slices.ContainsFunc(types, need.MetBy) {
			steps = append(steps, i)
		}
	}
	return steps
}

// HostGroups groups hosts by reason.
type HostGroups struct{ byReason map[string]*HostGroup }

// Add adds a host. free is nil if its free capacity is not known.
func (g *HostGroups) Add(reason, host string, free *work.Demand) {
	if g.byReason == nil {
		g.byReason = map[string]*HostGroup{}
	}
	group := g.byReason[reason]
	if group == nil {
		group = &HostGroup{Reason: reason}
		g.byReason[reason] = group
	}
	group.Count++
	group.Hosts = append(group.Hosts, host)
	if free != nil && (group.MostFree == nil || free.MilliCPU > group.MostFree.MilliCPU) {
		most := *free
		group.MostFree = &most
	}
}

// List returns the groups, the largest first, each with the names of up to maxNamedHosts of
// its hosts.
func (g *HostGroups) List() []HostGroup {
	out := make([]HostGroup, 0, len(g.byReason))
	for _, reason := range slices.Sorted(maps.Keys(g.byReason)) {
		group := *g.byReason[reason]
		slices.Sort(group.Hosts)
		group.Hosts = group.Hosts[:min(len(group.Hosts), maxNamedHosts)]
		out = append(out, group)
	}
	slices.SortStableFunc(out, func(a, b HostGroup) int { return cmp.Compare(b.Count, a.Count) })
	return out
}
