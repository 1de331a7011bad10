package schedule_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// replayEndMS bounds a replay.
	replayEndMS = 120_000
	// largeShare is the share of the jobs, those with the largest tasks, that count as large.
	largeShare = 0.25
)

// recordedJob is a job of a recorded demand.
type recordedJob struct {
	atMS  int64
	steps []work.Step
}

// largest returns the CPU of the job's largest task, in thousandths of a core.
func (j *recordedJob) largest() (cpu int64) {
	for i := range j.steps {
		cpu = max(cpu, j.steps[i].Demand.MilliCPU)
	}
	return cpu
}

// recordedDemand reads a file of testdata. Its lines have the form of the demand in the log
// line of an accepted job.
func recordedDemand(name string) (recorded []recordedJob) {
	GinkgoHelper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var j recordedJob
		at, steps, _ := strings.Cut(strings.TrimSpace(line), " ")
		j.atMS, err = strconv.ParseInt(at, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		for i, text := range strings.Split(steps, ",") {
			var s work.Step
			_, err = fmt.Sscanf(text, "%dx%d/%d@%d", &s.Tasks, &s.Demand.MilliCPU, &s.Demand.MemoryMB, &s.EstimateMS)
			Expect(err).NotTo(HaveOccurred())
			if strings.HasSuffix(text, "+") {
				s.After = []int{i - 1}
			}
			j.steps = append(j.steps, s)
		}
		recorded = append(recorded, j)
	}
	return recorded
}

// replayed is what replays of recorded demands show.
type replayed struct {
	jobs, inTime int
	// work is that of all jobs and workInTime that of the jobs in time, in thousandths of a
	// core, relative to that of each demand.
	work, workInTime float64
	// largeInTime is how many of the jobs with the largest tasks are in time.
	largeInTime int
}

// add adds the result of another replay.
func (r *replayed) add(other replayed) {
	r.jobs += other.jobs
	r.inTime += other.inTime
	r.work += other.work
	r.workInTime += other.workInTime
	r.largeInTime += other.largeInTime
}

// uniform returns a number between 0 and 1 that depends on its arguments only.
func uniform(parts ...any) float64 {
	h := fnv.New64a()
	_, err := fmt.Fprint(h, parts...)
	Expect(err).NotTo(HaveOccurred())
	return float64(h.Sum64()>>11) / (1 << 53)
}

// trueDuration returns how long a task takes whose queue's tasks take medianMS at the median:
// they vary by a factor of 1.6, and three in a hundred take seven times as long.
func trueDuration(medianMS float64, task work.TaskRef) int64 {
	normal := math.Sqrt(-2*math.Log(1-uniform("a", task))) * math.Cos(2*math.Pi*uniform("b", task))
	d := medianMS * math.Exp(0.5*normal)
	if uniform("c", task) < 0.03 {
		d *= 7
	}
	return int64(d)
}

// expectedDuration combines the median of a queue and a caller's estimate as the leader does.
func expectedDuration(medianMS float64) func(j *work.Job, step int) int64 {
	return func(j *work.Job, step int) int64 {
		return int64(math.Exp(0.76*math.Log(medianMS) + 0.24*math.Log(float64(max(1, j.Spec.Steps[step].EstimateMS)))))
	}
}

// replay runs a recorded demand on hosts of 64 cores.
func replay(recorded []recordedJob, hosts int, medianMS float64, adjust func(*schedule.Request)) (out replayed) {
	GinkgoHelper()
	p := newPoolOf(hosts, work.Demand{MilliCPU: 64_000, MemoryMB: 131_072})
	p.duration = expectedDuration(medianMS)
	p.took = func(_ int, s work.StartedRun) int64 { return trueDuration(medianMS, s.Task) }
	p.adjust = adjust
	start, next := p.nowMS, 0
	for ; p.nowMS < start+replayEndMS && (next < len(recorded) || len(p.ends) > 0); p.nowMS += simTickMS {
		for ; next < len(recorded) && start+recorded[next].atMS <= p.nowMS; next++ {
			p.submit(strconv.Itoa(next), "/q/", recorded[next].steps...)
		}
		p.run()
	}
	sizes, total := make([]int64, len(recorded)), 0.0
	for i := range recorded {
		sizes[i] = recorded[i].largest()
		total += jobWork(recorded[i].steps)
	}
	slices.Sort(sizes)
	large := sizes[int((1-largeShare)*float64(len(sizes)))]
	for i := range recorded {
		f, ok := p.stateMachine.Finished(strconv.Itoa(i))
		Expect(ok).To(BeTrue(), "accepted jobs are completed")
		_, objective := schedule.Objective(&work.Job{Spec: work.Spec{Steps: recorded[i].steps}, Stretch: 1.6, SlackMS: 600}, p.duration)
		r := replayed{jobs: 1, work: jobWork(recorded[i].steps) / total}
		if f.TookMS <= objective {
			r.inTime, r.workInTime = 1, r.work
			if recorded[i].largest() >= large {
				r.largeInTime = 1
			}
		}
		out.add(r)
	}
	return out
}

// jobWork returns the CPU that the tasks of some steps reserve, in thousandths of a core.
func jobWork(steps []work.Step) (sum float64) {
	for i := range steps {
		sum += float64(steps[i].Tasks) * float64(steps[i].Demand.MilliCPU)
	}
	return sum
}

// replays are recorded demands with the median duration of their tasks, and the hosts of the pool
// that they meet, which is far too small for them.
var replays = []struct {
	file     string
	medianMS float64
	hosts    int
}{{"payouts.txt", 971, 70}, {"checks.txt", 600, 62}, {"bursts.txt", 1500, 70}}

// replayAll replays all recorded demands.
func replayAll(adjust func(*schedule.Request)) (sum replayed) {
	GinkgoHelper()
	for _, c := range replays {
		sum.add(replay(recordedDemand(c.file), c.hosts, c.medianMS, adjust))
	}
	AddReportEntry("in time", fmt.Sprintf("%d of %d jobs, %.1f%% of the work, %d with large tasks", sum.inTime, sum.jobs, 100*sum.workInTime/sum.work, sum.largeInTime),
		ReportEntryVisibilityFailureOrVerbose)
	return sum
}

// meanJobCPU is about the mean of what the tasks of a recorded job reserve, in thousandths of a
// core.
const meanJobCPU = 150_000

// cpuLeft returns what the tasks of a job without a run reserve, in thousandths of a core.
func cpuLeft(j *work.Job) (sum float64) {
	for i := range j.Spec.Steps {
		sum += float64(j.PendingTasks(0, i)) * float64(j.Spec.Steps[i].Demand.MilliCPU)
	}
	return sum
}

var _ = Describe("Packing orders on recorded demand", func() {
	latestStart := func(*schedule.Request) {}
	// emptiest orders hosts by their free CPU.
	emptiest := func(r *schedule.Request) {
		r.SetHostOrder(func(_ *work.Step, a, b *schedule.Host) bool {
			return a.Free.MilliCPU > b.Free.MilliCPU || (a.Free.MilliCPU == b.Free.MilliCPU && a.Target.ID < b.Target.ID)
		})
	}
	// chosen is what the orders of the plan serve while room is short.
	chosen := sync.OnceValue(func() replayed { return replayAll(latestStart) })

	DescribeTable("serve at most one in a hundred more of the work in time, while room is short, than the fullest host and the latest start first do:", func(order func(*schedule.Request)) {
		// Load: a queue asks for up to five times its mean for some seconds, more than its pool
		// holds. Orders that favour small jobs serve more jobs in time, but less work.
		Expect(replayAll(order).workInTime).To(BeNumerically("<=", 1.01*chosen().workInTime))
	},
		Entry("the largest task first", func(r *schedule.Request) {
			r.SetJobCost(func(j *work.Job, _ int64) float64 {
				return -float64((&recordedJob{steps: j.Spec.Steps}).largest())
			})
		}),
		Entry("the shortest remaining time first", func(r *schedule.Request) {
			r.SetJobCost(func(_ *work.Job, remainingMS int64) float64 { return float64(remainingMS) })
		}),
		Entry("the least work left first", func(r *schedule.Request) {
			r.SetJobCost(func(j *work.Job, _ int64) float64 { return cpuLeft(j) })
		}),
		Entry("the least part left first", func(r *schedule.Request) {
			r.SetJobCost(func(j *work.Job, _ int64) float64 { return cpuLeft(j) / jobWork(j.Spec.Steps) })
		}),
		Entry("the least work left for a job and its work first", func(r *schedule.Request) {
			r.SetJobCost(func(j *work.Job, _ int64) float64 { return cpuLeft(j) / (jobWork(j.Spec.Steps) + meanJobCPU) })
		}),
		Entry("the emptiest host", emptiest),
		Entry("any host", func(r *schedule.Request) {
			r.SetHostOrder(func(_ *work.Step, a, b *schedule.Host) bool { return a.Target.ID < b.Target.ID })
		}),
	)

	It("serve large tasks better on the fullest host than on the emptiest", func() {
		// Load: the same; small tasks leave gaps on all hosts that large ones cannot use.
		Expect(chosen().largeInTime).To(BeNumerically(">", replayAll(emptiest).largeInTime))
	})

	It("lose less than one job in a hundred to kept places", func() {
		// Load: the same; few of the tasks are so large that they would starve.
		places := replayAll(func(r *schedule.Request) { r.MaxKept = maxKept })
		Expect(places.inTime).To(BeNumerically(">", chosen().inTime-places.jobs/100))
	})
})
