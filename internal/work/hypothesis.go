package work

import (
	"agatehaven.dev/agatehaven/internal/fault"
)

// Hypothesis is a job that is not submitted, but of which it is asked what would become of it.
type Hypothesis struct {
	// ID is that of the job, which may be empty.
	ID string `cbor:"1,keyasint,omitempty"`
	// Queue names the queue. If it is empty, Domain and Path do.
	Queue  string `cbor:"2,keyasint,omitempty"`
	Domain string `cbor:"3,keyasint,omitempty"`
	Path   string `cbor:"4,keyasint,omitempty"`
	// Customer names to whom the job would belong on a queue that needs a key.
	Customer string `cbor:"5,keyasint,omitempty"`
	Spec     Spec   `cbor:"6,keyasint"`
}

// Suppose returns the job, with its tasks, that a hypothesis would become at a time in Unix ms.
// It changes nothing. refusal is the error with which the state would refuse the job:
// *fault.LimitExceeded or *customer.NeverFits. Other errors are in err: *fault.Invalid,
// *fault.Unavailable without a configuration, and *fault.NotFound for a queue or customer.
func (m *StateMachine) Suppose(h *Hypothesis, nowMS int64) (j *Job, refusal, err error) {
	spec := h.Spec
	spec.Clamp()
	if err := spec.Check(); err != nil {
		return nil, nil, err
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &m.state
	if s.Config == nil {
		return nil, nil, &fault.Unavailable{What: "configuration", Reason: "none was accepted yet"}
	}
	a := acceptance{queue: s.Config.findQueue(h)}
	switch {
	case a.queue == nil && h.Queue != "":
		return nil, nil, &fault.NotFound{Kind: "queue", Name: h.Queue}
	case a.queue == nil:
		return nil, nil, &fault.NotFound{Kind: "queue", Name: h.Domain + h.Path}
	case !a.queue.KeyRequired: // an open queue asks for no customer
	case h.Customer == "":
		return nil, nil, &fault.Invalid{Field: "customer", Reason: "is missing: queue " + a.queue.Name + " is for customers only"}
	default:
		if a.owner = s.customers.byName[h.Customer]; a.owner == nil {
			return nil, nil, &fault.NotFound{Kind: "customer", Name: h.Customer}
		}
	}
	j = s.preview(&a, &Submission{ID: h.ID, Spec: spec}, nowMS)
	j.Sequence = s.Sequence + 1
	j.createTasks()
	return j, s.checkRoom(&a, &spec), nil
}

// findQueue returns the queue of a hypothesis, nil if there is none.
func (c *Configuration) findQueue(h *Hypothesis) *Queue {
	if h.Queue == "" {
		queue, _ := c.Route(h.Domain, h.Path)
		return queue
	}
	for i := range c.Queues {
		if c.Queues[i].Name == h.Queue {
			return &c.Queues[i]
		}
	}
	return nil
}
