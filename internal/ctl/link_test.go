package ctl_test

import (
	"context"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/guard"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// Hosts of a fake region of jobs with steps.
const (
	linkLeader   = "127.0.0.1"
	linkFollower = "127.0.0.2"
)

// fakeLeader answers the calls of operators as a leader does.
type fakeLeader struct{ link.Redirector }

func (fakeLeader) Customers(context.Context, *link.Empty) (*link.CustomersAnswer, error) {
	return &link.CustomersAnswer{Answer: link.Answer{Code: link.Done}, Customers: []leader.CustomerStatus{
		{
			Name: "ann", Keys: 2, Weight: 4.5, Limit: work.Demand{MilliCPU: 64_000, GPUs: 8},
			Running: work.Demand{MilliCPU: 12_500, MemoryMB: 4096, GPUs: 1}, Waiting: 3,
			Refused: leader.Refusals{BeyondAllowance: 17, NeverFits: 1},
		},
		{Name: "bob\x1b[31m", Keys: 1, Weight: 1_000_000},
		{Name: "eve", Removed: true, Running: work.Demand{MilliCPU: 1000, MemoryMB: 100}},
	}}, nil
}

// Explain answers as a leader does that holds one job, accepted or not, in a pool of some hosts.
func (fakeLeader) Explain(_ context.Context, q *leader.Question) (*link.ExplainAnswer, error) {
	h := &q.Hypothesis
	switch {
	case q.Job == "busy":
		return &link.ExplainAnswer{Answer: link.Answer{Code: link.NotReady, Reason: "another explanation is being made"}}, nil
	case q.Job != "" && q.Job != "j1":
		return &link.ExplainAnswer{Answer: link.Answer{Code: link.NoJob, Reason: "job " + q.Job + " does not exist"}}, nil
	case q.Job == "" && h.Queue != "lessons" && h.Path != "/lessons/":
		return &link.ExplainAnswer{Answer: link.Answer{Code: link.NoQueue, Reason: "queue " + h.Queue + " does not exist"}}, nil
	}
	x := &leader.Explanation{
		Job: q.Job, Accepted: q.Job != "", Queue: "lessons", Pool: "desk", ExpectedMS: 2600, ObjectiveMS: 5200, BacklogMS: 7300,
		PolicyNotAsked: q.Job == "",
		Plan: schedule.Explanation{Status: "postponed", Ahead: 12, StartsAhead: 40, Places: []schedule.KeptPlace{
			{Job: "j1", Host: "d-3", Tasks: 1, FreeInMS: 1250, LateMS: 40}, {Job: "j0", Step: 2, Host: "d-10", Tasks: 3, Moves: 2},
		}},
		Excluded: []schedule.HostGroup{
			{Reason: "belongs to pool checks", Count: 30, Hosts: []string{"c-1", "c-2", "c-3", "c-4", "c-5"}},
			{Reason: "silent", Count: 1, Hosts: []string{"d-7\x1b[31m"}},
		},
		Share: &leader.CustomerShare{
			Customer: "ann", Weight: 2, PoolWeight: 10, MilliCPU: 12_500, PoolMilliCPU: 64_000,
			Limit: work.Demand{MilliCPU: 16_000}, Running: work.Demand{MilliCPU: 13_000, MemoryMB: 2048}, BeyondAllowance: true,
		},
	}
	for i := range max(1, len(h.Spec.Steps)) {
		step := schedule.StepExplanation{Step: i, Tasks: 8, Waiting: 8, Why: schedule.WaitsForSteps}
		if i == 0 {
			step.Starts, step.Waiting, step.Why = []schedule.HostTasks{{Host: "d-1", Tasks: 2}, {Host: "d-2", Tasks: 1}}, 5, schedule.WaitsForRoom
			step.Hosts = []schedule.HostGroup{
				{Reason: string(schedule.NoCPU), Count: 6, Hosts: []string{"d-3", "d-4", "d-5", "d-6", "d-8", "d-9"}, MostFree: &work.Demand{MilliCPU: 400, MemoryMB: 900}},
				{Reason: string(schedule.NoLabel), Count: 1, Hosts: []string{"d-10"}, MostFree: &work.Demand{MilliCPU: 4000, MemoryMB: 16_000, GPUs: 1}},
			}
		}
		if i < len(h.Spec.Steps) && h.Spec.Steps[i].Demand.MilliCPU > 64_000 {
			x.FitsNoHost = append(x.FitsNoHost, i)
		}
		x.Plan.Steps = append(x.Plan.Steps, step)
	}
	answer := &link.ExplainAnswer{Answer: link.Answer{Code: link.Done}, Explanation: x, Submission: link.Answer{Code: link.Done}}
	if h.Customer == "ann" {
		answer.Submission = link.Answer{Code: link.Refused, Reason: "the pool has no room beyond the customer's rate", RetryAfterMS: 4200}
	}
	return answer, nil
}

// serveLink starts a leader and a host that redirects to it, and returns their port.
func serveLink() (port string) {
	GinkgoHelper()
	redirect := link.Redirector{KnownMembers: func() link.Members { return link.Members{Leader: linkLeader} }}
	serve := func(host, port string, h link.Handler) string {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
		Expect(err).NotTo(HaveOccurred())
		server := link.NewServer(h, guard.Share{}, zerolog.Nop())
		go func() { _ = server.Serve(listener) }() // ends with Close
		DeferCleanup(server.Close)
		_, port, err = net.SplitHostPort(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		return port
	}
	port = serve(linkLeader, "0", fakeLeader{redirect})
	return serve(linkFollower, port, redirect)
}
