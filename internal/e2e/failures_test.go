package e2e_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// sentRequest is one request and its first response.
type sentRequest struct {
	key      string
	response caller.Response
	status   int
	err      error
}

// sendMany sends n requests concurrently, with numbered keys and through the
// given entry hosts in turn. It calls during, if not nil, while they are
// pending, and returns once all calls have returned.
func (r *region) sendMany(n int, prefix string, b caller.Body, entries []string, during func()) []sentRequest {
	out := make([]sentRequest, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			s := sentRequest{key: fmt.Sprintf("%s-%04d", prefix, i)}
			s.response, s.status, s.err = r.client.Send(context.Background(), entries[i%len(entries)], s.key, b)
			out[i] = s
		})
	}
	if during != nil {
		during()
	}
	wg.Wait()
	return out
}

// callerAddresses returns the caller addresses of all entry hosts but the
// given ones.
func (r *region) callerAddresses(except ...string) []string {
	var out []string
	for _, h := range r.hosts {
		if !contains(except, h.name) {
			out = append(out, h.caller)
		}
	}
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// totalRuns returns the number of runs on all targets.
func (r *region) totalRuns() int {
	n := 0
	for _, f := range r.fleets {
		n += len(f.Runs())
	}
	return n
}

// expectAtMostOnce checks the guarantees for non-idempotent requests: no key
// ran twice, a key with outcome not_run never ran, and a key with outcome done
// ran once and gets the same answer when it is sent again through entry.
func (r *region) expectAtMostOnce(list []sentRequest, b caller.Body, entry string) {
	GinkgoHelper()
	for _, s := range list {
		runCount := r.runCount(s.key)
		Expect(runCount).To(BeNumerically("<=", 1), "%s ran %d times", s.key, runCount)
		if s.err != nil {
			continue
		}
		switch s.response.Outcome {
		case model.OutcomeNotRun:
			Expect(runCount).To(BeZero(), "%s was refused as not run but ran", s.key)
		case model.OutcomeDone:
			Expect(runCount).To(Equal(1), "%s is done but did not run", s.key)
			again, _, err := r.client.Send(context.Background(), entry, s.key, b)
			Expect(err).NotTo(HaveOccurred(), s.key)
			Expect(again.Answer).To(Equal(s.response.Answer), s.key)
			Expect(string(again.Answer)).To(ContainSubstring(`"request":"` + s.key + `"`))
		}
	}
	for _, s := range list {
		Expect(r.runCount(s.key)).To(BeNumerically("<=", 1), "%s ran again when it was resent", s.key)
	}
}

func countOutcome(list []sentRequest, outcome model.Outcome) int {
	n := 0
	for _, s := range list {
		if s.err == nil && s.response.Outcome == outcome {
			n++
		}
	}
	return n
}

var _ = Describe("Non-idempotent requests", func() {
	It("run at most once when the leader and an owner are killed", func() {
		// Guards against a second dispatch by a new leader, and against a result
		// that is lost with the entry host that owns the attempt.
		r := startRegion(nil)
		b := requestBody("plotter_order", 1500*time.Millisecond)
		leader := r.leader("dc-a")
		list := r.sendMany(60, "kill", b, r.callerAddresses(leader.name), func() {
			Eventually(r.totalRuns).WithTimeout(settleTimeout).Should(BeNumerically(">=", 10))
			r.kill(leader)
		})
		r.expectAtMostOnce(list, b, r.callerAddresses(leader.name)[0])
		Eventually(func() int {
			open := 0
			for _, s := range list {
				again, _, err := r.client.Send(context.Background(), r.callerAddresses(leader.name)[1], s.key, b)
				if err != nil || again.Outcome != model.OutcomeDone {
					open++
				}
			}
			return open
		}).WithTimeout(settleTimeout).Should(BeZero(), "the results of all attempts are found")
		r.expectAtMostOnce(list, b, r.callerAddresses(leader.name)[2])
	})

	It("run at most once when the leader is suspended and continued", func() {
		// Guards against a leader that is replaced while it is suspended and still
		// dispatches afterwards.
		r := startRegion(nil)
		b := requestBody("plotter_order", 200*time.Millisecond)
		leader := r.leader("dc-a")
		list := r.sendMany(60, "freeze", b, r.callerAddresses(leader.name), func() {
			Eventually(r.totalRuns).WithTimeout(settleTimeout).Should(BeNumerically(">=", 5))
			r.signal(leader, syscall.SIGSTOP)
			Eventually(func() string { return r.leader("dc-a").name }).WithTimeout(settleTimeout).ShouldNot(Equal(leader.name))
			r.signal(leader, syscall.SIGCONT)
		})
		r.expectAtMostOnce(list, b, r.callerAddresses(leader.name)[0])
		Expect(countOutcome(list, model.OutcomeDone)).To(BeNumerically(">", 0))
	})

	It("run at most once when targets go silent at the start", func() {
		// Guards against a second start after a lost response, on targets that
		// support revoke and on targets that do not.
		r := startRegion(func(c *standin.Config) { c.NoRevoke = c.DataCentre == "dc-b" })
		for _, f := range r.fleets {
			for i, t := range f.Targets() {
				fault := standin.StartSilentAfterBegin
				if i%2 == 0 {
					fault = standin.StartSilentBeforeBegin
				}
				t.SetFaults(standin.Faults{Start: fault})
			}
		}
		b := requestBody("plotter_order", 200*time.Millisecond)
		list := r.sendMany(30, "silent", b, r.callerAddresses(), nil)
		r.expectAtMostOnce(list, b, r.callerAddresses()[0])
		Expect(countOutcome(list, model.OutcomeUnknown) + countOutcome(list, model.OutcomeDone)).To(BeNumerically(">", 0))
	})
})

var _ = Describe("A partitioned data centre", func() {
	It("serves its tickets, refuses keys homed elsewhere as not run and drains within its floor", func() {
		// Guards against a data centre that stops serving during a partition, and
		// against a request that is refused as not run but runs elsewhere.
		r := startRegion(nil)
		b := r.host("entry-b1")
		r.partition("dc-b", linkSilent)
		key, err := r.client.Ticket(context.Background(), b.caller)
		Expect(err).NotTo(HaveOccurred())
		draw := requestBody("draw", 100*time.Millisecond)
		Eventually(func() model.Outcome {
			response, _, err := r.client.Send(context.Background(), b.caller, key, draw)
			if err != nil {
				return ""
			}
			return response.Outcome
		}).WithTimeout(settleTimeout).Should(Equal(model.OutcomeDone))
		Expect(r.runCount(key)).To(Equal(1))

		draw.WaitMS = 2000
		// Requests sent before the silence is detected have an unknown effect.
		// 5 s cover the silence limit of 3 s, one probe and the probe interval.
		Eventually(func() int { return r.countInLog(b, "event=peer_silent") - r.countInLog(b, "event=peer_back") }).WithTimeout(5 * time.Second).Should(Equal(5))
		list := r.sendMany(12, "foreign", draw, []string{b.caller}, nil)
		refused := 0
		for _, s := range list {
			if s.err != nil {
				refused++
				Expect(r.runCount(s.key)).To(BeZero(), "%s was refused but ran: %v", s.key, s.err)
			}
		}
		Expect(refused).To(BeNumerically(">", 0), "keys homed elsewhere cannot be served")
		r.expectAtMostOnce(list, draw, b.caller)

		first, err := r.tryCtlAt(b, "drain", "-reason", "test", "dc-b-t01")
		Expect(err).NotTo(HaveOccurred(), first)
		second, err := r.tryCtlAt(b, "drain", "-reason", "test", "dc-b-t07")
		Expect(err).To(HaveOccurred(), "the floor of 2 allows one of 3 hosts to drain")
		Expect(second).To(ContainSubstring("floor"))

		before := r.revisionOf(b.name)
		Expect(before).To(BeNumerically(">", 0))
		out := r.ctlAt(r.host("entry-a1"), "-timeout", "20s", "apply", "-no-wait", "-f", r.writeRecordFile("quota", "during", `{"max_running":5,"max_queued":5}`))
		Expect(out).NotTo(BeEmpty())
		Consistently(func() uint64 { return r.revisionOf(b.name) }).WithTimeout(500 * time.Millisecond).Should(Equal(before))
		r.partition("dc-b", linkOpen)
		Eventually(func() uint64 { return r.revisionOf(b.name) }).WithTimeout(15 * time.Second).Should(BeNumerically(">", before))
	})
})

// countInLog counts the occurrences of text in a host's log.
func (r *region) countInLog(h *host, text string) int {
	GinkgoHelper()
	log, err := os.ReadFile(filepath.Join(r.folder, h.name+".log"))
	Expect(err).NotTo(HaveOccurred())
	return strings.Count(string(log), text)
}

// tryCtlAt runs agatehavenctl against one entry host.
func (r *region) tryCtlAt(h *host, args ...string) (string, error) {
	return runCtl(append([]string{"-operator", "test", "-server", h.operator}, args...)...)
}

func (r *region) ctlAt(h *host, args ...string) string {
	GinkgoHelper()
	out, err := r.tryCtlAt(h, args...)
	Expect(err).NotTo(HaveOccurred(), out)
	return out
}

func (r *region) writeRecordFile(kind, name, spec string) string {
	GinkgoHelper()
	path := filepath.Join(r.folder, kind+"-"+name+".json")
	data := fmt.Sprintf(`{"records":[{"schema":1,"kind":%q,"name":%q,"spec":%s}]}`, kind, name, spec)
	Expect(os.WriteFile(path, []byte(data), 0o600)).To(Succeed())
	return path
}

var _ = Describe("A planned stop", func() {
	It("interrupts no request in progress and transfers leadership", func() {
		// Guards against a graceful stop that interrupts requests of callers or
		// attempts on targets.
		r := startRegion(nil)
		b := requestBody("plotter_order", 2*time.Second)
		leader := r.leader("dc-a")
		list := r.sendMany(40, "stop", b, r.callerAddresses(), func() {
			Eventually(r.totalRuns).WithTimeout(settleTimeout).Should(BeNumerically(">=", 20))
			r.signal(leader, syscall.SIGTERM)
			Eventually(leader.exited).WithTimeout(settleTimeout).Should(BeClosed())
		})
		for _, s := range list {
			if s.err != nil {
				// A request that arrives after the stop has begun is refused.
				Expect(r.runCount(s.key)).To(BeZero(), "%s: %v", s.key, s.err)
				continue
			}
			Expect(s.response.Outcome).To(Equal(model.OutcomeDone), "%s: %s", s.key, s.response.Reason)
			Expect(r.runCount(s.key)).To(Equal(1))
		}
		Expect(r.countInLog(leader, "attempt left without a result")).To(BeZero())
		Expect(r.countInLog(leader, "msg=stopped")).To(Equal(1))
	})
})

var _ = Describe("A second SIGTERM", func() {
	It("ends a planned stop immediately and logs the work that it interrupts", func() {
		// Guards against a stop that an operator cannot force, and against a
		// forced stop that does not log the work that it interrupted.
		r := startRegion(nil)
		const requests = 40
		b := requestBody("plotter_order", 8*time.Second)
		var stopped *host
		list := r.sendMany(requests, "force", b, r.callerAddresses(), func() {
			Eventually(r.totalRuns).WithTimeout(settleTimeout).Should(Equal(requests))
			stopped = r.busiestHost()
			r.signal(stopped, syscall.SIGTERM)
			Eventually(func() int { return r.countInLog(stopped, `msg="graceful stop started"`) }).WithTimeout(settleTimeout).Should(Equal(1))
			Consistently(stopped.exited).WithTimeout(time.Second).ShouldNot(BeClosed(), "the first signal waits for the work")
			r.signal(stopped, syscall.SIGTERM)
			Eventually(stopped.exited).WithTimeout(2 * time.Second).Should(BeClosed())
		})
		Expect(r.countInLog(stopped, "msg=stopped")).To(Equal(1))
		attempts := r.numberInLog(stopped, `msg="graceful stop started" attempts=(\d+)`)
		Expect(attempts).To(BeNumerically(">", 0))
		Expect(r.countInLog(stopped, `reason="the stop was forced" request=force-`)).To(Equal(attempts))
		unanswered := 0
		for _, s := range list {
			if s.err != nil {
				unanswered++
			}
		}
		Expect(unanswered).To(BeNumerically(">", 0))
		Expect(r.numberInLog(stopped, `msg="requests of callers left without an answer" host=\S+ reason="the stop was forced" requests=(\d+)`)).To(Equal(unanswered))
		others := r.callerAddresses(stopped.name)
		for _, s := range list {
			Eventually(func() model.Outcome {
				again, _, err := r.client.Send(context.Background(), others[0], s.key, b)
				if err != nil {
					return ""
				}
				return again.Outcome
			}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(Equal(model.OutcomeDone), s.key)
			Expect(r.runCount(s.key)).To(Equal(1), s.key)
		}
	})
})

// busiestHost returns the host with the most active attempts.
func (r *region) busiestHost() *host {
	GinkgoHelper()
	var best *host
	most := 0.0
	for _, h := range r.hosts {
		response, err := http.Get("http://" + h.diagnostics + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		page, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		found := regexp.MustCompile(`(?m)^agatehaven_attempts_in_hand (\S+)$`).FindSubmatch(page)
		Expect(found).NotTo(BeNil(), h.name)
		n, err := strconv.ParseFloat(string(found[1]), 64)
		Expect(err).NotTo(HaveOccurred())
		if n > most {
			best, most = h, n
		}
	}
	Expect(best).NotTo(BeNil(), "no host has active attempts")
	return best
}

// numberInLog returns the number that pattern captures in a host's log, which
// must match exactly once.
func (r *region) numberInLog(h *host, pattern string) int {
	GinkgoHelper()
	log, err := os.ReadFile(filepath.Join(r.folder, h.name+".log"))
	Expect(err).NotTo(HaveOccurred())
	found := regexp.MustCompile(pattern).FindAllSubmatch(log, -1)
	Expect(found).To(HaveLen(1), pattern)
	n, err := strconv.Atoi(string(found[0][1]))
	Expect(err).NotTo(HaveOccurred())
	return n
}

var _ = Describe("Leaving targets", func() {
	It("receive no new work 2 s after they announce that they are leaving", func() {
		// Guards against dispatch to a target that is about to stop.
		r := startRegion(nil)
		target := r.fleets["dc-a"].Targets()[1] // pool plotters
		target.Drain(true)
		leavingSince := time.Now()
		b := requestBody("plotter_order", 20*time.Millisecond)
		for i := 0; i < 20 || time.Since(leavingSince) < 5*time.Second; i++ {
			r.sendMany(10, fmt.Sprintf("leaving-%02d", i), b, r.callerAddresses(), nil)
		}
		runsAfterBound := 0 // runs on the other targets after the bound
		for _, run := range r.fleets["dc-a"].Runs() {
			after := time.UnixMilli(run.BeganMS).Sub(leavingSince)
			if run.Target == target.Info().Name {
				Expect(after).To(BeNumerically("<", 2*time.Second))
			} else if after > 2*time.Second {
				runsAfterBound++
			}
		}
		Expect(runsAfterBound).To(BeNumerically(">=", 20), "the load must outlast the bound")
		Expect(r.totalRuns()).To(BeNumerically(">=", 200))
	})
})
