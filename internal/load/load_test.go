package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/httpapi"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var _ = Describe("Schedule", func() {
	plan := Plan{
		Seed: 7, PerSecond: 200, Length: 60 * time.Second, Pattern: PatternBursts, BurstLength: 2 * time.Second,
		Mix: DefaultMix(), TicketShare: 0.5, RepeatShare: 0.1,
	}

	It("depends only on the plan", func() {
		// Guards against runs that cannot be repeated from their seed.
		Expect(Schedule(plan)).To(Equal(Schedule(plan)))
		other := plan
		other.Seed = 8
		Expect(Schedule(other)).NotTo(Equal(Schedule(plan)))
	})

	It("sends each kind at five times its mean in its turn and at a twentieth in between", func() {
		// Guards against demand whose bursts do not move from kind to kind.
		const proof = 0
		in, between := 0, 0
		for _, a := range Schedule(plan) {
			if a.Kind != proof {
				continue
			}
			if int(a.At/plan.BurstLength)%len(plan.Mix) == proof {
				in++
			} else {
				between++
			}
		}
		mean := plan.PerSecond * 0.30
		Expect(float64(in) / 10).To(BeNumerically("~", 5*mean, 0.1*5*mean))
		Expect(float64(between) / 50).To(BeNumerically("~", mean/20, 0.3*mean/20))
	})

	It("keeps the mean rate and the mix under steady demand", func() {
		// Guards against a thinning of the Poisson process that changes the rate.
		steady := plan
		steady.Pattern = PatternSteady
		arrivals := Schedule(steady)
		Expect(len(arrivals)).To(BeNumerically("~", 12_000, 400))
		tickets, repeats := 0, 0
		for _, a := range arrivals {
			if a.Ticket {
				tickets++
			}
			if a.RepeatAfter >= 0 {
				repeats++
			}
		}
		Expect(float64(tickets) / float64(len(arrivals))).To(BeNumerically("~", 0.5, 0.03))
		Expect(float64(repeats) / float64(len(arrivals))).To(BeNumerically("~", 0.1, 0.02))
	})

	It("sends nothing without a rate", func() {
		// Guards against a schedule that never ends.
		Expect(Schedule(Plan{Length: time.Second, Mix: DefaultMix()})).To(BeEmpty())
	})
})

var _ = Describe("Check", func() {
	const proof, draw = 0, 4
	mix := DefaultMix()
	answer := func(key, kind string, payload []byte) []byte {
		sum := sha256.Sum256(payload)
		data, err := json.Marshal(standin.Answer{Request: key, Kind: kind, Run: 1, PayloadSHA256: hex.EncodeToString(sum[:])})
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	done := func(kind int) Result {
		r := Result{Key: "k1", Kind: kind, Payload: []byte("{}"), Outcome: OutcomeDone}
		r.Replies = []caller.Response{{
			Key: "k1", Outcome: model.OutcomeDone, Succeeded: true, Answer: answer("k1", mix[kind].Kind.Name, r.Payload),
		}}
		return r
	}
	run := standin.Run{Request: "k1"}
	brokenGuarantees := func(r Result, runs ...standin.Run) []string {
		var out []string
		for _, b := range Check([]Result{r}, mix, runs, true) {
			out = append(out, b.Guarantee)
		}
		return out
	}

	It("accepts the answer to a request that ran once", func() {
		// Guards against false alarms.
		Expect(brokenGuarantees(done(draw), run)).To(BeEmpty())
	})

	DescribeTable("finds answers that are not the caller's own",
		// Guards against mixed-up answers that the check does not detect.
		func(change func(r *caller.Response)) {
			r := done(proof)
			change(&r.Replies[0])
			Expect(brokenGuarantees(r, run)).To(Equal([]string{GuaranteeOwnAnswer}))
		},
		Entry("another key", func(r *caller.Response) { r.Key = "k2" }),
		Entry("another request's answer", func(r *caller.Response) { r.Answer = answer("k2", "proof", []byte("{}")) }),
		Entry("another kind's answer", func(r *caller.Response) { r.Answer = answer("k1", "draw", []byte("{}")) }),
		Entry("another payload", func(r *caller.Response) { r.Answer = answer("k1", "proof", []byte("[]")) }),
		Entry("a truncated answer", func(r *caller.Response) { r.Answer = r.Answer[:20] }),
	)

	It("finds two answers for one key", func() {
		// Guards against a repeated key that runs again through another entry host.
		r := done(proof)
		second := r.Replies[0]
		second.Answer = append([]byte(" "), second.Answer...)
		r.Replies = append(r.Replies, second)
		Expect(brokenGuarantees(r, run)).To(Equal([]string{GuaranteeSameAnswer}))
	})

	It("finds a non-idempotent request that ran twice, whatever its outcome", func() {
		// Guards against duplicates hidden behind an unknown outcome.
		Expect(brokenGuarantees(done(draw), run, run)).To(Equal([]string{GuaranteeOnce}))
		Expect(brokenGuarantees(Result{Key: "k1", Kind: draw, Outcome: OutcomeUnknown}, run, run)).To(Equal([]string{GuaranteeOnce}))
		Expect(brokenGuarantees(done(proof), run, run)).To(BeEmpty())
	})

	It("finds a request that ran although a caller was told that it did not", func() {
		// Guards against a "not run" that is true for one caller of the key only.
		for _, outcome := range []Outcome{OutcomeNotRun, OutcomeRefused} {
			Expect(brokenGuarantees(Result{Key: "k1", Kind: draw, Outcome: outcome}, run)).To(Equal([]string{GuaranteeNotRun}))
		}
		r := done(draw)
		r.Replies = append(r.Replies, caller.Response{Key: "k1", Outcome: model.OutcomeNotRun})
		Expect(brokenGuarantees(r, run)).To(Equal([]string{GuaranteeNotRun}))
	})

	It("finds an answer without a run", func() {
		// Guards against a run log that is read from the wrong stand-ins.
		Expect(brokenGuarantees(done(draw))).To(Equal([]string{GuaranteeRan}))
		Expect(Check([]Result{done(draw)}, mix, nil, false)).To(BeEmpty())
	})
})

// scriptedSender answers calls from a list; the last entry repeats.
type scriptedSender struct {
	mu      sync.Mutex
	replies []func(key string) (caller.Response, error)
	entries []string
	keys    []string
}

func (s *scriptedSender) Entry(n int) string { return string(rune('a' + n%3)) }

func (s *scriptedSender) Ticket(context.Context, string) (string, error) { return "t.dc-a.1", nil }

func (s *scriptedSender) Send(_ context.Context, entry, key string, _ caller.Body) (caller.Response, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.keys = append(s.entries, entry), append(s.keys, key)
	next := s.replies[0]
	if len(s.replies) > 1 {
		s.replies = s.replies[1:]
	}
	response, err := next(key)
	return response, 0, err
}

func finished(o model.Outcome) func(string) (caller.Response, error) {
	return func(key string) (caller.Response, error) {
		return caller.Response{Key: key, State: model.RequestFinished, Outcome: o}, nil
	}
}

func failing(err error) func(string) (caller.Response, error) {
	return func(string) (caller.Response, error) { return caller.Response{}, err }
}

var _ = Describe("Runner", func() {
	var (
		manual *clock.Manual
		sender *scriptedSender
		runner *Runner
	)
	BeforeEach(func() {
		manual = clock.NewManual(time.UnixMilli(1_000_000))
		sender = &scriptedSender{}
		runner = &Runner{
			Plan: Plan{Mix: DefaultMix(), PayloadBytes: 64}, Sender: sender, Clock: manual,
			Deadline: time.Second, Limit: 2 * time.Second,
		}
	})
	// send runs one arrival and advances the clock whenever the runner waits.
	send := func(a Arrival) Result {
		result := make(chan Result, 1)
		go func() { result <- runner.sendArrival(context.Background(), a, "k1", manual.Now(), 0) }()
		for {
			select {
			case r := <-result:
				return r
			default:
				if manual.Waiters() > 0 {
					manual.Advance(resendDelay)
				}
			}
		}
	}
	sentOnce := Arrival{RepeatAfter: -1}
	refused := &RefusedError{Failure: httpapi.Failure{Code: fault.CodeUnavailable, Effect: httpapi.EffectNone}}

	It("reports a refusal without effect as refused and does not send again", func() {
		// Guards against load that hides refusals behind retries.
		sender.replies = append(sender.replies, failing(refused))
		Expect(send(sentOnce).Outcome).To(Equal(OutcomeRefused))
		Expect(sender.entries).To(HaveLen(1))
	})

	It("sends the same key through the next entry host after a lost response", func() {
		// Guards against a second key for a request that may have run.
		sender.replies = append(sender.replies, failing(&fault.Unavailable{What: "entry"}), finished(model.OutcomeDone))
		Expect(send(sentOnce).Outcome).To(Equal(OutcomeDone))
		Expect(sender.entries).To(Equal([]string{"a", "b"}))
		Expect(sender.keys).To(Equal([]string{"k1", "k1"}))
	})

	It("reports only what was sent when it is interrupted", func() {
		// Guards against requests that count as sent although they were not.
		runner.Plan = Plan{Seed: 1, PerSecond: 10, Length: time.Second, Mix: DefaultMix()}
		sender.replies = append(sender.replies, finished(model.OutcomeDone))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(runner.Run(ctx)).To(BeEmpty())
	})

	It("reports unknown for a refusal after a call that may have had an effect", func() {
		// Guards against a false alarm: a later refusal says nothing about the
		// first call, so the outcome is unknown and not "did not run".
		sender.replies = append(sender.replies, failing(&fault.Unavailable{What: "entry"}), failing(refused))
		Expect(send(sentOnce).Outcome).To(Equal(OutcomeUnknown))
	})

	It("asks again for an unknown outcome until the limit", func() {
		// Guards against an unknown outcome that is resolved later and counted
		// as unknown.
		sender.replies = append(sender.replies, finished(model.OutcomeUnknown), finished(model.OutcomeNotRun))
		Expect(send(sentOnce).Outcome).To(Equal(OutcomeNotRun))
		sender.replies = append(sender.replies[:0], finished(model.OutcomeUnknown))
		Expect(send(sentOnce).Outcome).To(Equal(OutcomeUnknown))
	})

	It("sends a repeated key through another entry host and keeps both replies", func() {
		// Guards against a repeated key that reaches the same process.
		sender.replies = append(sender.replies, finished(model.OutcomeDone))
		r := send(Arrival{RepeatAfter: resendDelay, Ticket: true})
		Expect(r.Replies).To(HaveLen(2))
		Expect(sender.entries).To(ConsistOf("a", "b"))
		Expect(sender.keys).To(HaveEach("t.dc-a.1"))
	})
})

var _ = Describe("Summary", func() {
	It("measures the start from the run log and counts what started late", func() {
		// Guards against start latencies that include the run time.
		sent := time.UnixMilli(10_000)
		p := Plan{Length: time.Second, Mix: DefaultMix()[:1]}
		results := []Result{
			{Key: "k1", Sent: sent, Ended: sent.Add(300 * time.Millisecond), Outcome: OutcomeDone},
			{Key: "k2", Sent: sent, Ended: sent.Add(3 * time.Second), Outcome: OutcomeDone},
			{Key: "k3", Sent: sent, Outcome: OutcomeNotRun},
			{Key: "k4", Sent: sent, Outcome: OutcomeRefused},
		}
		runs := []standin.Run{
			{Request: "k1", BeganMS: 10_040}, {Request: "k1", BeganMS: 10_200}, {Request: "k2", BeganMS: 12_000},
		}
		row := Summary(p, results, runs, true).Kinds[0]
		Expect(row.Sent).To(Equal(4))
		Expect(row.InTime).To(Equal(0.25))
		Expect(row.RanAgain).To(Equal(1))
		Expect(row.Start).To(Equal(Latency{Count: 2, P50: 40, P99: 2000, Max: 2000}))
		Expect(row.Total).To(Equal(Latency{Count: 2, P50: 300, P99: 3000, Max: 3000}))
	})
})

var _ = Describe("adoption", func() {
	at := func(ms int64, process, reason string) event.Event {
		return event.Event{Kind: eventRecordsInForce, Actor: process, Reason: reason, Time: hlc.Time{WallMillis: ms}}
	}
	changes := []sentChange{{5, time.UnixMilli(1000)}, {6, time.UnixMilli(1100)}}

	It("takes the last process, and a newer revision for a skipped one", func() {
		// Guards against times of the fastest process only.
		took, missing := adoptionTimes(changes, []string{"a", "b"}, []event.Event{
			at(1050, "a", "revision 5, floor revision 1"),
			at(1160, "a", "revision 6, floor revision 1"),
			at(1200, "b", "revision 6, floor revision 1"),
		})
		Expect(missing).To(BeZero())
		Expect(took).To(Equal([]time.Duration{200 * time.Millisecond, 100 * time.Millisecond}))
	})

	It("counts a change that is not in force in some process", func() {
		// Guards against a process that stays behind unnoticed.
		took, missing := adoptionTimes(changes, []string{"a", "b"}, []event.Event{
			at(1160, "a", "revision 6, floor revision 1"), at(1200, "b", "revision 5, floor revision 1"),
		})
		Expect(missing).To(Equal(1))
		Expect(took).To(HaveLen(1))
	})
})

var _ = Describe("parseMetrics", func() {
	It("sums metrics over labels and leaves out the diagnostics listener", func() {
		// Guards against figures that contain the cost of measuring.
		r, err := parseMetrics(strings.NewReader(`process_cpu_seconds_total 1.5
process_resident_memory_bytes 1048576
agatehaven_connection_sent_bytes_total{side="server",peer="peer"} 100
agatehaven_connection_sent_bytes_total{side="client",peer="peer"} 50
agatehaven_connection_sent_bytes_total{side="server",peer="diagnostics"} 7
agatehaven_replica_log_bytes_total{group="dc-a",host="entry-a1"} 30
`))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Host).To(Equal("entry-a1"))
		later := r
		later.At, later.CPU, later.Sent = r.At.Add(2*time.Second), 1.6, 150+4096
		u := Between(r, later)
		Expect(u.CPUPercent).To(BeNumerically("~", 5, 0.001))
		Expect(u.SentKB).To(BeNumerically("~", 2, 0.001))
		Expect(u.MemoryMB).To(Equal(1.0))
	})
})

var _ = Describe("Histogram", func() {
	It("takes quantiles of the durations between two readings, over all groups", func() {
		// Guards against quantiles that include durations from before the run.
		page := func(fast, slow int) string {
			return fmt.Sprintf(`agatehaven_replica_sync_seconds_bucket{group="dc-a",host="entry-a1",vmrange="1.000e-03...1.136e-03"} %d
agatehaven_replica_sync_seconds_bucket{group="region",host="entry-a1",vmrange="1.000e-03...1.136e-03"} 10
agatehaven_replica_sync_seconds_bucket{group="dc-a",host="entry-a1",vmrange="8.799e-02...1.000e-01"} %d
`, fast, slow)
		}
		a, err := parseMetrics(strings.NewReader(page(100, 500)))
		Expect(err).NotTo(HaveOccurred())
		b, err := parseMetrics(strings.NewReader(page(190, 510)))
		Expect(err).NotTo(HaveOccurred())
		b.At = a.At.Add(time.Second)
		u := Between(a, b)
		Expect(u.SyncP50MS).To(BeNumerically("~", 1.136, 0.001))
		Expect(u.SyncP99MS).To(BeNumerically("~", 100, 0.001))
		Expect(u.CommitP99MS).To(BeZero())
	})
})

var _ = Describe("payload", func() {
	It("has the size asked for and differs between requests", func() {
		// Guards against equal payloads, which would hide mixed-up answers.
		a, b := payload(time.Second, 512, 1, 1), payload(time.Second, 512, 1, 2)
		Expect(a).To(HaveLen(512))
		Expect(a).NotTo(Equal(b))
		Expect(payload(time.Second, 512, 1, 1)).To(Equal(a))
		var p standin.Payload
		Expect(json.Unmarshal(a, &p)).To(Succeed())
		Expect(p.RunMS).To(Equal(int64(1000)))
	})

	It("reads a mix and refuses unknown kinds", func() {
		// Guards against a misspelt kind that sends another load.
		mix, err := ParseMix("draw=3:50ms,proof")
		Expect(err).NotTo(HaveOccurred())
		Expect(mix).To(HaveLen(2))
		Expect(mix[0].RunTime).To(Equal(50 * time.Millisecond))
		Expect(mix[0].NonIdempotent).To(BeTrue())
		_, err = ParseMix("drwa")
		Expect(err).To(HaveOccurred())
	})
})
