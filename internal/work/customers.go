package work

import (
	"strconv"

	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
)

// Customer is a customer of the region, to whom the jobs belong that its callers hand in.
type Customer struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the digests of the keys that identify its callers.
	Keys []customer.KeyDigest `cbor:"2,keyasint,omitempty"`
	// Weight is the customer's share of a full pool relative to those of the others, and
	// the number of jobs per second that it is owed.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Limit bounds what its runs ask for over all targets. A resource of 0 has no limit.
	Limit Demand `cbor:"4,keyasint,omitempty"`
}

// customers indexes the customers of a configuration.
type customers struct {
	byName map[string]*Customer
	byKey  map[customer.KeyDigest]*Customer
}

// indexCustomers indexes the customers of a configuration, which may be nil.
func indexCustomers(c *Configuration) customers {
	index := customers{map[string]*Customer{}, map[customer.KeyDigest]*Customer{}}
	if c == nil {
		return index
	}
	for i := range c.Customers {
		owner := &c.Customers[i]
		index.byName[owner.Name] = owner
		for _, key := range owner.Keys {
			index.byKey[key] = owner
		}
	}
	return index
}

// checkCustomers returns *fault.Invalid if the customers must not take effect.
func (c *Configuration) checkCustomers() error {
	names, owners := map[string]bool{}, map[customer.KeyDigest]string{}
	for i := range c.Customers {
		owner := &c.Customers[i]
		switch {
		case owner.Name == "" || names[owner.Name]:
			return &fault.Invalid{Field: "customer " + strconv.Itoa(i), Reason: "name is missing or not unique"}
		case !(owner.Weight >= 0 && owner.Weight <= MaxWeight):
			return &fault.Invalid{Field: "weight of customer " + strconv.Itoa(i), Reason: "out of range"}
		case min(owner.Limit.MilliCPU, owner.Limit.MemoryMB, owner.Limit.GPUs) < 0:
			return &fault.Invalid{Field: "limit of customer " + strconv.Itoa(i), Reason: "is negative"}
		}
		names[owner.Name] = true
		for _, key := range owner.Keys {
			other, taken := owners[key]
			switch {
			case key == "":
				return &fault.Invalid{Field: "keys of customer " + strconv.Itoa(i), Reason: "a key is empty"}
			case taken && other != owner.Name:
				return &fault.Invalid{Field: "keys of customer " + strconv.Itoa(i), Reason: "customer " + other + " has one of them"}
			}
			owners[key] = owner.Name
		}
	}
	return nil
}

const (
	// MaxWeight bounds Customer.Weight. It is far beyond the jobs per second of any region.
	MaxWeight = 1e9
	// maxLimit bounds each resource of a customer's limit, so that sums do not overflow.
	maxLimit = 1 << 53
)

// clampCustomers limits the customers' values to ranges in which sums do not overflow.
func (c *Configuration) clampCustomers() {
	for i := range c.Customers {
		limit := &c.Customers[i].Limit
		limit.MilliCPU, limit.MemoryMB, limit.GPUs = min(limit.MilliCPU, maxLimit), min(limit.MemoryMB, maxLimit), min(limit.GPUs, maxLimit)
	}
}

// Allows reports whether a customer with this limit may run what asks for a sum of demands.
func (d Demand) Allows(sum Demand) bool {
	within := func(limit, sum int64) bool { return limit == 0 || sum <= limit }
	return within(d.MilliCPU, sum.MilliCPU) && within(d.MemoryMB, sum.MemoryMB) && within(d.GPUs, sum.GPUs)
}

// Charge is what a run of a step counts against its customer's limit: all that it asks for,
// also the CPU of fill-in work, which is not reserved on the host.
func (s *Step) Charge() Demand { return s.Demand }

// Times returns n times a demand.
func (d Demand) Times(n int64) Demand { return Demand{n * d.MilliCPU, n * d.MemoryMB, n * d.GPUs} }

// Caller is who makes a call for a job or a queue, and for which.
type Caller struct {
	Domain, Path string
	// Key is the digest of the key that the call carries, "" without a valid one.
	Key customer.KeyDigest
}

// CheckAccess returns why a caller may not read or cancel a job, or read from a queue if job
// is "". Errors: *fault.Unauthorised; *fault.NotFound for the job of another customer. It
// does not report that a job or queue does not exist.
func (m *StateMachine) CheckAccess(c *Caller, job string) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.checkAccess(c, m.state.Jobs[job], job)
}

func (s *state) checkAccess(c *Caller, j *Job, id string) error {
	owner := ""
	if j != nil {
		owner = j.Customer
	}
	var queue *Queue
	if s.Config != nil {
		queue, _ = s.Config.Route(c.Domain, c.Path)
	}
	isOpen := queue == nil || !queue.KeyRequired
	if isOpen && (owner == "" || (queue != nil && j.Queue == queue.Name)) {
		return nil
	}
	caller := s.customers.byKey[c.Key]
	switch {
	case caller == nil && isOpen:
		return &fault.NotFound{Kind: "job", Name: id}
	case caller == nil:
		return &fault.Unauthorised{}
	case owner != "" && owner != caller.Name:
		return &fault.NotFound{Kind: "job", Name: id}
	}
	return nil
}

// acceptance is what the state knows of a submitted job before it is accepted.
type acceptance struct {
	// queue takes the job; it is nil if the job was accepted before.
	queue *Queue
	// owner is the customer to whom the job belongs, nil on a queue that is open to all.
	owner *Customer
}

// job returns the job that a submission becomes, without its tasks.
func (a *acceptance) job(r *Submission) *Job {
	q := a.queue
	j := &Job{
		ID: r.ID, Queue: q.Name, Pool: q.Pool, Priority: q.Priority, Attempts: max(1, q.Attempts),
		Stretch: q.Stretch, SlackMS: q.SlackMS, Spec: r.Spec, State: Queued, PolicyChecked: q.PolicyChecked,
	}
	if a.owner != nil {
		j.Customer = a.owner.Name
	}
	return j
}

// Preview returns the job that a submission would become at a time in Unix ms, without its
// tasks, or nil if it was accepted before. It returns the error with which the submission
// would be refused: *fault.Unavailable without a configuration, *fault.NotFound without a
// queue, *fault.Unauthorised, *fault.LimitExceeded, or *customer.NeverFits.
func (m *StateMachine) Preview(r *Submission, nowMS int64) (*Job, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, err := m.state.checkSubmission(r)
	if err != nil || a.queue == nil {
		return nil, err
	}
	return m.state.preview(&a, r, nowMS), nil
}

// preview returns the job that a submission would become, without its tasks. It takes no
// allowance.
func (s *state) preview(a *acceptance, r *Submission, nowMS int64) *Job {
	j := a.job(r)
	j.SubmittedMS = nowMS
	if a.owner != nil {
		var trial customer.Allowance
		if known := s.Allowances[a.owner.Name]; known != nil {
			trial = *known
		}
		j.BeyondAllowance = !trial.Take(a.owner.Weight, nowMS)
	}
	return j
}

// OwnerOf returns the customer to whom a submitted job would belong, empty if its queue is
// open to all or its key is not known.
func (m *StateMachine) OwnerOf(r *Submission) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.state.Config == nil {
		return ""
	}
	queue, ok := m.state.Config.Route(r.Domain, r.Path)
	if !ok || !queue.KeyRequired {
		return ""
	}
	if owner := m.state.customers.byKey[r.Key]; owner != nil {
		return owner.Name
	}
	return ""
}

func (s *state) checkSubmission(r *Submission) (acceptance, error) {
	if j := s.Jobs[r.ID]; j != nil {
		if s.checkAccess(&Caller{Domain: r.Domain, Path: r.Path, Key: r.Key}, j, r.ID) != nil {
			// The answer is that to an unknown key: it does not tell that the job exists.
			return acceptance{}, &fault.Unauthorised{}
		}
		return acceptance{}, nil
	}
	if s.Config == nil {
		return acceptance{}, &fault.Unavailable{What: "configuration", Reason: "none was accepted yet"}
	}
	queue, ok := s.Config.Route(r.Domain, r.Path)
	if !ok {
		return acceptance{}, &fault.NotFound{Kind: "queue", Name: r.Domain + r.Path}
	}
	a := acceptance{queue: queue}
	if queue.KeyRequired {
		if a.owner = s.customers.byKey[r.Key]; a.owner == nil {
			return acceptance{}, &fault.Unauthorised{}
		}
	}
	if err := s.checkRoom(&a, &r.Spec); err != nil {
		return acceptance{}, err
	}
	return a, nil
}

// checkRoom returns *customer.NeverFits or *fault.LimitExceeded if the state does not take a
// job.
func (s *state) checkRoom(a *acceptance, spec *Spec) error {
	if a.owner != nil {
		if err := a.owner.checkFits(spec); err != nil {
			return err
		}
	}
	if len(s.Jobs) >= MaxJobs {
		return &fault.LimitExceeded{What: "jobs", Limit: MaxJobs}
	}
	return nil
}

// checkFits returns *customer.NeverFits if a task or a gang of a job exceeds the customer's
// limit by itself. A wide step does not: its tasks run one after the other.
func (c *Customer) checkFits(spec *Spec) error {
	for i := range spec.Steps {
		step := &spec.Steps[i]
		least, what := step.Charge(), "task"
		if step.Gang {
			least, what = least.Times(int64(step.Tasks)), "gang"
		}
		if !c.Limit.Allows(least) {
			return &customer.NeverFits{Customer: c.Name, What: what + " of step " + strconv.Itoa(i)}
		}
	}
	return nil
}

// allowance returns the allowance of a customer and creates it if needed.
func (s *state) allowance(owner *Customer) *customer.Allowance {
	if s.Allowances == nil {
		s.Allowances = map[string]*customer.Allowance{}
	}
	a := s.Allowances[owner.Name]
	if a == nil {
		a = &customer.Allowance{}
		s.Allowances[owner.Name] = a
	}
	return a
}

// configureCustomers indexes the customers of the configuration, and forgets those that it
// no longer holds.
func (s *state) configureCustomers() {
	s.customers = indexCustomers(s.Config)
	for name := range s.Allowances {
		if s.customers.byName[name] == nil {
			delete(s.Allowances, name)
		}
	}
}

// exceedsLimit reports whether a run would bring what a customer's runs ask for above its
// limit. A customer that the configuration no longer holds has none.
func (s *state) exceedsLimit(name string, charge Demand) bool {
	owner := s.customers.byName[name]
	return owner != nil && !owner.Limit.Allows(s.usage[name].Add(charge))
}

// addRun adds a run that may be alive.
func (s *state) addRun(target *Target, j *Job, ref TaskRef, run int) {
	step := &j.Spec.Steps[ref.Step]
	target.addRun(ref, activeRun{number: run, need: step.Reserved(), owner: j.Customer, charge: step.Charge()})
	if j.Customer != "" {
		s.usage[j.Customer] = s.usage[j.Customer].Add(step.Charge())
	}
}

// Usage returns what the runs of a customer that may be alive ask for.
func (v *View) Usage(customer string) Demand { return v.state.usage[customer] }

// removeRun removes a run that is not alive.
func (s *state) removeRun(target *Target, ref TaskRef) {
	if run := target.runs[ref]; run.owner != "" {
		left := s.usage[run.owner].Sub(run.charge)
		if s.usage[run.owner] = left; left == (Demand{}) {
			delete(s.usage, run.owner)
		}
	}
	target.removeRun(ref)
}
