package ctl

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// jobFile describes a job in TOML or JSON.
type jobFile struct {
	ID          string     `toml:"id" json:"id"`
	Queue       string     `toml:"queue" json:"queue"`
	Domain      string     `toml:"domain" json:"domain"`
	Path        string     `toml:"path" json:"path"`
	Customer    string     `toml:"customer" json:"customer"`
	Occurrences int        `toml:"occurrences" json:"occurrences"`
	FirstMS     int64      `toml:"first_ms" json:"first_ms"`
	IntervalMS  int64      `toml:"interval_ms" json:"interval_ms"`
	Steps       []stepFile `toml:"steps" json:"steps"`
}

type stepFile struct {
	Tasks               int    `toml:"tasks" json:"tasks"`
	CPUMillis           int64  `toml:"cpu_millis" json:"cpu_millis"`
	MemoryMB            int64  `toml:"memory_mb" json:"memory_mb"`
	GPUs                int64  `toml:"gpus" json:"gpus"`
	EstimateMS          int64  `toml:"estimate_ms" json:"estimate_ms"`
	After               []int  `toml:"after" json:"after"`
	Gang                bool   `toml:"gang" json:"gang"`
	Label               string `toml:"label" json:"label"`
	DataRack            string `toml:"data_rack" json:"data_rack"`
	MaxPerHost          int    `toml:"max_per_host" json:"max_per_host"`
	LongLived           bool   `toml:"long_lived" json:"long_lived"`
	TailLatencyTargetMS int64  `toml:"tail_latency_target_ms" json:"tail_latency_target_ms"`
	FillIn              bool   `toml:"fill_in" json:"fill_in"`
}

// hypothesis returns the job in the form in which the leader is asked about it.
func (f *jobFile) hypothesis() work.Hypothesis {
	h := work.Hypothesis{
		ID: f.ID, Queue: f.Queue, Domain: f.Domain, Path: f.Path, Customer: f.Customer,
		Spec: work.Spec{Occurrences: f.Occurrences, FirstMS: f.FirstMS, IntervalMS: f.IntervalMS},
	}
	for _, s := range f.Steps {
		h.Spec.Steps = append(h.Spec.Steps, work.Step{
			Tasks: max(1, s.Tasks), Demand: work.Demand{MilliCPU: s.CPUMillis, MemoryMB: s.MemoryMB, GPUs: s.GPUs},
			EstimateMS: s.EstimateMS, After: s.After, Gang: s.Gang, Label: s.Label, DataRack: s.DataRack, MaxPerHost: s.MaxPerHost,
			LongLived: s.LongLived, TailLatencyTargetMS: s.TailLatencyTargetMS, FillIn: s.FillIn,
		})
	}
	return h
}

func (f *jobFile) setFlags(set *flag.FlagSet, step *stepFile, estimate *time.Duration) {
	set.StringVar(&f.Queue, "queue", "", "`name` of the job's queue")
	set.StringVar(&f.Domain, "domain", "", "`domain` of a call that submits the job, in place of -queue")
	set.StringVar(&f.Path, "path", "", "`path` of that call")
	set.StringVar(&f.Customer, "customer", "", "`name` of the customer, for a queue that is for customers")
	set.IntVar(&step.Tasks, "tasks", 1, "number of `tasks` of the job's only step")
	set.Int64Var(&step.CPUMillis, "cpu-millis", 0, "CPU of a task in `thousandths` of a core")
	set.Int64Var(&step.MemoryMB, "memory-mb", 0, "memory of a task in `MB`")
	set.Int64Var(&step.GPUs, "gpus", 0, "`GPUs` of a task")
	set.DurationVar(estimate, "estimate", 0, "how long a task is estimated to take")
	set.StringVar(&step.Label, "label", "", "`label` that the hosts must have")
	set.IntVar(&step.MaxPerHost, "max-per-host", 0, "most `tasks` of the step on one host")
	set.BoolVar(&step.Gang, "gang", false, "the tasks only work together")
	set.BoolVar(&step.LongLived, "long-lived", false, "the tasks run until the job is cancelled")
}

func placementCommand(a *app) *subcommand {
	var file string
	var job jobFile
	var step stepFile
	var estimate time.Duration
	return &subcommand{
		app: a, name: "placement", synopsis: "tell where a job would go now, and why, without submitting it",
		args: []string{"JOB"},
		help: `
Tells where the tasks of a job would start now, and what rules out the other
hosts; whether the job would be refused, and when to come back; and the share
and the limit of its customer. JOB is the id of an accepted job. Without it the
flags describe a job of one step, or a file one of several steps; see
examples/placement.toml. Nothing is submitted, started or counted. The leader
makes one explanation at a time.
` + linkHelp,
		flags: func(set *flag.FlagSet) {
			set.StringVar(&file, "f", "", "`file` that describes the job in TOML or JSON, - for standard input")
			job.setFlags(set, &step, &estimate)
		},
		run: func(ctx context.Context, args []string) error {
			var q leader.Question
			switch {
			case len(args) > 0:
				q.Job = args[0]
			case file != "":
				job = jobFile{}
				if err := a.readFile(file, "examples/placement.toml", &job); err != nil {
					return err
				}
				q.Hypothesis = job.hypothesis()
			case job.Queue == "" && job.Path == "":
				return &UsageError{Reason: "placement needs a job", Next: "give an id, -f FILE, or -queue with the needs of a task"}
			default:
				step.EstimateMS = estimate.Milliseconds()
				job.Steps = []stepFile{step}
				q.Hypothesis = job.hypothesis()
			}
			return a.showPlacement(ctx, &q)
		},
	}
}

// placementAnswer is the output of placement.
type placementAnswer struct {
	*leader.Explanation
	// Refused is set if the job would be refused.
	Refused      bool   `json:"refused"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (a *app) showPlacement(ctx context.Context, q *leader.Question) error {
	var out placementAnswer
	err := a.callLeader(ctx, func(ctx context.Context, host *link.Client) (*link.Answer, error) {
		answer, err := host.Explain(ctx, q)
		if err != nil {
			return nil, err
		}
		s := &answer.Submission
		out = placementAnswer{answer.Explanation, s.Code != link.Done, s.Reason, s.RetryAfterMS}
		return &answer.Answer, nil
	})
	if err != nil {
		return err
	}
	if out.Explanation == nil {
		return &LeaderError{fault.CodeInternal, "the leader sent no explanation", "compare the versions of the tool and the leader"}
	}
	if a.output != "json" {
		a.summarisePlacement(&out)
	}
	return a.print(&out, func(t *tableWriter) { placementTable(t, &out) })
}

// summarisePlacement prints what concerns the whole job.
func (a *app) summarisePlacement(p *placementAnswer) {
	line := func(name, format string, args ...any) {
		a.line("%-10s %s", name, sanitiseCell(fmt.Sprintf(format, args...)))
	}
	what := "a new job"
	if p.Accepted {
		what = "accepted job " + p.Job
	}
	line("job", "%s of queue %s in pool %s", what, p.Queue, p.Pool)
	switch {
	case p.Accepted:
	case p.Refused:
		line("admission", "refused: %s; come back in %s", p.Reason, formatMillis(p.RetryAfterMS))
	default:
		line("admission", "accepted")
	}
	order := fmt.Sprintf("%s, %d jobs of the pool before it", p.Plan.Status, p.Plan.Ahead)
	if p.ObjectiveMS > 0 {
		order += fmt.Sprintf("; takes %s of %s", formatMillis(p.ExpectedMS), formatMillis(p.ObjectiveMS))
	}
	if p.BacklogMS > 0 {
		order += fmt.Sprintf("; the pool's backlog is %s", formatMillis(p.BacklogMS))
	}
	line("order", "%s", order)
	if s := p.Share; s != nil {
		limit := "no limit"
		if s.Limit != (work.Demand{}) {
			limit = "limit " + formatLimit(s.Limit)
		}
		allowance := "within its allowance"
		if s.BeyondAllowance {
			allowance = "beyond its allowance"
		}
		line("customer", "%s, weight %s of %s, runs %s of %s CPU in the pool", s.Customer, formatWeight(s.Weight), formatWeight(s.PoolWeight),
			formatCPU(s.MilliCPU), formatCPU(s.PoolMilliCPU))
		line("", "%s in all, %s, %s", formatDemand(s.Running), limit, allowance)
	}
	if p.PolicyNotAsked {
		line("policy", "not asked; taken to permit all hosts")
	}
	for _, step := range p.FitsNoHost {
		line("warning", "no host of the region can take a task of step %d, also if it is empty", step)
	}
	a.line("")
}

func placementTable(t *tableWriter, p *placementAnswer) {
	t.row("STEP", "TASKS", "DONE", "RUNNING", "START NOW", "WAIT", "WHY")
	for i := range p.Plan.Steps {
		s := &p.Plan.Steps[i]
		starts := 0
		for _, h := range s.Starts {
			starts += h.Tasks
		}
		t.row(s.Step, s.Tasks, s.Done, s.Running, starts, s.Waiting, s.Why)
	}
	if p.Plan.MoreSteps > 0 {
		t.row(fmt.Sprintf("and %d more steps", p.Plan.MoreSteps))
	}
	t.rows = append(t.rows, "")
	t.row("STEP", "HOSTS", "DECISION", "MOST FREE", "NAMES")
	for i := range p.Plan.Steps {
		s := &p.Plan.Steps[i]
		if len(s.Starts) > 0 {
			t.row(s.Step, len(s.Starts), "tasks start here", "", startNames(s.Starts))
		}
		for j := range s.Hosts {
			hostGroupRow(t, strconv.Itoa(s.Step), &s.Hosts[j])
		}
	}
	for i := range p.Excluded {
		hostGroupRow(t, "all", &p.Excluded[i])
	}
	placeRows(t, p.Plan.Places)
}

// placeRows lists the places that the pool keeps.
func placeRows(t *tableWriter, places []schedule.KeptPlace) {
	if len(places) == 0 {
		return
	}
	t.rows = append(t.rows, "")
	t.row("PLACE KEPT FOR", "STEP", "TASKS", "HOST", "FREE IN", "LATE BY", "MOVED")
	for i := range places {
		k := &places[i]
		t.row(k.Job, k.Step, k.Tasks, k.Host, formatMillis(k.FreeInMS), formatMillis(k.LateMS), k.Moves)
	}
}

func hostGroupRow(t *tableWriter, step string, g *schedule.HostGroup) {
	free := ""
	if g.MostFree != nil {
		free = formatDemand(*g.MostFree)
	}
	t.row(step, g.Count, g.Reason, free, shortList(g.Hosts, g.Count))
}

// startNames lists hosts with the number of tasks that start there.
func startNames(starts []schedule.HostTasks) string {
	names := make([]string, len(starts))
	for i, h := range starts {
		names[i] = fmt.Sprintf("%s (%d)", h.Host, h.Tasks)
	}
	return shortList(names, len(names))
}

// maxListedNames bounds the names in a cell of a table. JSON has more.
const maxListedNames = 4

// shortList joins the first names of a list of which there are count.
func shortList(names []string, count int) string {
	shown := names[:min(len(names), maxListedNames)]
	text := strings.Join(shown, ", ")
	if count > len(shown) {
		text += ", ..."
	}
	return text
}
