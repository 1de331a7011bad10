package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/ctl"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

var update = flag.Bool("update", false, "write golden files")

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// steppingClock advances by the whole duration whenever the tool waits.
type steppingClock struct {
	*clock.Manual
	fakeRegion *fakeRegion
	onWait     func()
}

func (c *steppingClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	if c.onWait != nil {
		c.fakeRegion.mu.Lock()
		c.onWait()
		c.fakeRegion.mu.Unlock()
	}
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// session runs the tool against a fake region behind one entry host; a second
// entry host refuses connections.
type session struct {
	fakeRegion *fakeRegion
	clock      *steppingClock
	server     string
	refusing   string
	leader     string // link addresses
	follower   string
	ids        int
	stdin      string
}

func newSession() *session {
	r := newFakeRegion()
	s := &session{fakeRegion: r, clock: &steppingClock{Manual: clock.NewManual(time.UnixMilli(fixtureMillis + 60_000)), fakeRegion: r}}
	live := httptest.NewServer(s.fakeRegion.handler())
	DeferCleanup(live.Close)
	s.server = live.Listener.Addr().String()
	s.refusing = refusingAddress()
	port := serveLink()
	s.leader, s.follower = net.JoinHostPort(linkLeader, port), net.JoinHostPort(linkFollower, port)
	return s
}

// refusingAddress binds a port without listening on it, so that connections
// are refused and no other process can take the port.
func refusingAddress() string {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(syscall.Close, socket)
	Expect(syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	name, err := syscall.Getsockname(socket)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

func (s *session) run(ctx context.Context, args ...string) (string, int) {
	var out bytes.Buffer
	code := ctl.Run(ctx, args, ctl.Env{
		Stdin: strings.NewReader(s.stdin), Stdout: &out, Stderr: &out, Clock: s.clock,
		Getenv: func(name string) string {
			return map[string]string{ctl.ServersVariable: s.refusing + "," + s.server, "USER": "kim"}[name]
		},
		NewID: func() string { s.ids++; return fmt.Sprintf("id-%d", s.ids) },
	})
	// Waits for a handler whose client has timed out, so that its writes happen
	// before the test's reads.
	s.fakeRegion.mu.Lock()
	defer s.fakeRegion.mu.Unlock()
	text := strings.NewReplacer(s.server, "LIVE", s.refusing, "DEAD", s.leader, "LEADER", s.follower, "FOLLOWER").Replace(out.String())
	return text, code
}

// applyDirective changes the region between two commands of a transcript.
func (s *session) applyDirective(line string) {
	r := s.fakeRegion
	switch word, rest, _ := strings.Cut(line, " "); word {
	case "unreachable":
		r.unreachable = strings.Fields(rest)
	case "lost":
		r.answersToLose = 1
	case "lag":
		_, err := fmt.Sscan(rest, &r.laggingStatuses)
		Expect(err).NotTo(HaveOccurred())
	case "overtake":
		r.concurrentChanges = 1
	case "refuse":
		r.nextError = &fault.Precondition{What: "drain of exec-1", Reason: rest}
	case "unavailable":
		r.nextError = &fault.Unavailable{What: "group dc-a", Reason: "no leader"}
	case "full":
		r.nextError = &fault.LimitExceeded{What: "records", Limit: 4096}
	case "stdin":
		s.stdin = strings.ReplaceAll(rest, `\n`, "\n")
	default:
		Fail("unknown directive " + line)
	}
}

// replay runs the commands of a transcript and returns the transcript with
// their actual output. Lines that begin with "$ " are commands, "% "
// directives, "# " comments; others are dropped.
func replay(transcript string) string {
	s := newSession()
	var out strings.Builder
	for _, line := range strings.Split(transcript, "\n") {
		kind, rest, _ := strings.Cut(line, " ")
		if kind != "$" && kind != "%" && kind != "#" {
			continue
		}
		_, _ = fmt.Fprintln(&out, line)
		switch kind {
		case "%":
			s.applyDirective(rest)
		case "$":
			args := strings.Fields(strings.NewReplacer("agatehavenctl ", "", "LIVE", s.server, "DEAD", s.refusing, "LEADER", s.leader, "FOLLOWER", s.follower).Replace(rest))
			text, code := s.run(context.Background(), args...)
			_, _ = fmt.Fprintf(&out, "%s[exit %d]\n\n", text, code)
		}
	}
	return out.String()
}

var _ = Describe("agatehavenctl", func() {
	DescribeTable("answers as in the transcript", func(name string) {
		// Guards against output, advice or exit codes that change unnoticed.
		path := filepath.Join("testdata", name+".session")
		transcript, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		seen := replay(string(transcript))
		if *update {
			Expect(os.WriteFile(path, []byte(seen), 0o600)).To(Succeed())
			return
		}
		Expect(seen).To(Equal(string(transcript)))
	},
		Entry(nil, "queries"), Entry(nil, "commands"), Entry(nil, "refusals"), Entry(nil, "help"), Entry(nil, "json"), Entry(nil, "customers"), Entry(nil, "placement"),
	)

	It("resends a change with the same request id after a lost answer, with one effect", func() {
		// Guards against a change that is applied twice, or that is reported as
		// failed although it was applied.
		s := newSession()
		s.fakeRegion.answersToLose = 2
		text, code := s.run(context.Background(), "apply", "-f", "../../examples/wave.toml")
		Expect(code).To(Equal(0), text)
		Expect(s.fakeRegion.commandPaths).To(HaveLen(3))
		Expect(s.fakeRegion.applied).To(Equal(1))
	})

	It("does not repeat an order for a host after a lost answer", func() {
		// Guards against a drain that is sent twice and undoes what happened in
		// between.
		s := newSession()
		s.fakeRegion.answersToLose = 1
		text, code := s.run(context.Background(), "-server", s.server+","+s.server, "drain", "-reason", "x", "exec-1")
		Expect(code).To(Equal(1))
		Expect(text).To(ContainSubstring("the command may have had its effect"))
		Expect(s.fakeRegion.applied).To(Equal(1))
	})

	It("changes only the state of a wave, also after a concurrent change", func() {
		// Guards against a change of a wave's state that drops the fields of
		// another version, rounds its numbers or fails because of an unrelated
		// change of the records.
		s := newSession()
		s.fakeRegion.concurrentChanges = 1
		text, code := s.run(context.Background(), "waves", "resume", "spring")
		Expect(code).To(Equal(0), text)
		record := s.fakeRegion.records.Items[len(s.fakeRegion.records.Items)-1]
		Expect(string(record.Spec)).To(ContainSubstring(`"future_field":9007199254740993`))
		var spec model.Wave
		Expect(json.Unmarshal(record.Spec, &spec)).To(Succeed())
		Expect(spec).To(And(HaveField("State", model.WaveRunning), HaveField("Resume", 1), HaveField("FailureThreshold", 1)))
	})

	It("prints each event once and in time when it follows", func() {
		// Guards against a late event of a slower process that is never shown.
		s := newSession()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		late := event.Event{ID: event.ID{Group: "dc-b", Index: 1}, Time: at(15), Kind: "host_drained", Host: "exec-3"}
		polls := 0
		s.clock.onWait = func() {
			if polls++; polls == 1 {
				s.fakeRegion.events = append(s.fakeRegion.events, late)
			} else if polls == 3 {
				cancel()
			}
		}
		text, code := s.run(ctx, "timeline", "-follow")
		Expect(code).To(Equal(0))
		Expect(strings.Split(strings.TrimSpace(text), "\n")).To(HaveExactElements(
			ContainSubstring("host lost"), ContainSubstring("wave paused"), ContainSubstring("host drained (host exec-3)")))
	})

	DescribeTable("watches a wave to its end", func(end func(*fakeRegion), code int, last string) {
		// Guards against a script that takes a paused wave for a finished one.
		s := newSession()
		polls := 0
		s.fakeRegion.onDataCentres = func(r *fakeRegion) {
			switch polls++; polls {
			case 2:
				r.centres[1].Waves = []model.WaveProgress{{Wave: "spring", DataCentre: "dc-b", Done: []string{"exec-3"}, Finished: at(9)}}
			case 3:
				end(r)
			}
		}
		text, got := s.run(context.Background(), "waves", "watch", "spring")
		Expect(got).To(Equal(code), text)
		Expect(text).To(HavePrefix("04:01:00  dc-a: 1/2 done, 0 failed, running, in step: exec-2\n" +
			"04:01:02  dc-b: 1/1 done, 0 failed, finished\n"))
		Expect(text).To(ContainSubstring(last))
	},
		Entry("finished", func(r *fakeRegion) { r.centres[0].Waves[0].Finished = at(9) }, 0, "dc-a: 1/2 done, 0 failed, finished"),
		Entry("paused by the system", func(r *fakeRegion) { r.centres[0].Waves[0].Paused = true }, 5, "paused by the system"),
		Entry("cancelled", func(r *fakeRegion) {
			r.records.Items[3].Spec = json.RawMessage(`{"pool":"proofs","state":"cancelled"}`)
			r.centres[0].Waves[0].Finished = at(9)
		}, 1, "it was cancelled"),
	)

	It("reads the sample records without warnings and with floors that add up", func() {
		// Guards against sample records that the tool or the region rejects.
		s := newSession()
		text, code := s.run(context.Background(), "apply", "-f", "../../examples/records.toml")
		Expect(code).To(Equal(0), text)
		Expect(text).NotTo(ContainSubstring("warning"))
		pools := map[string]model.Pool{}
		for _, r := range s.fakeRegion.records.Items {
			var p model.Pool
			if r.Kind == model.KindPool && json.Unmarshal(r.Spec, &p) == nil {
				pools[r.Name] = p
				sum := 0
				for centre, floor := range p.Floors {
					sum += floor
					Expect(p.Desired[centre]).To(BeNumerically(">", floor), r.Name+" leaves no room for a wave")
				}
				Expect(sum).To(BeNumerically(">=", p.MinAvailable), r.Name)
			}
		}
		for _, r := range s.fakeRegion.records.Items {
			var k model.JobKind
			if r.Kind == model.KindJobKind && json.Unmarshal(r.Spec, &k) == nil {
				Expect(pools).To(HaveKey(k.Pool))
				Expect(k.Idempotent || k.MaxAttempts == 1).To(BeTrue(), r.Name)
			}
		}
	})

	// silentServer returns the address of a server that accepts connections and
	// never responds.
	silentServer := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		return listener.Addr().String()
	}

	It("tries the next entry host when one does not answer in time", func() {
		// Guards against a tool that waits on a silent connection for ever.
		s := newSession()
		text, code := s.run(context.Background(), "-try-timeout", "1s", "-server", silentServer(), "-server", s.server+","+s.server, "hosts", "exec-1")
		Expect(code).To(Equal(0), text)
	})

	It("keeps the time limit of the whole command", func() {
		// Guards against a script that hangs on several silent entry hosts.
		s := newSession()
		text, code := s.run(context.Background(), "-timeout", "100ms", "-try-timeout", "20s", "-server", silentServer(), "hosts")
		Expect(code).To(Equal(1))
		Expect(text).To(HavePrefix("agatehavenctl: the command timed out after 100ms"))
	})

	It("trusts only entry hosts that the given authority signed", func() {
		// Guards against orders sent to a host that only claims to be ours.
		s := newSession()
		secure := httptest.NewUnstartedServer(s.fakeRegion.handler())
		secure.Config.ErrorLog = log.New(io.Discard, "", 0)
		secure.StartTLS()
		DeferCleanup(secure.Close)
		ca := filepath.Join(GinkgoT().TempDir(), "ca.pem")
		block := &pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw}
		Expect(os.WriteFile(ca, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		address := secure.Listener.Addr().String()
		text, code := s.run(context.Background(), "-server", address, "-tls-ca", ca, "hosts")
		Expect(code).To(Equal(0), text)
		text, code = s.run(context.Background(), "-server", address, "-tls", "hosts")
		Expect(code).To(Equal(1))
		Expect(text).To(ContainSubstring("certificate signed by unknown authority"))
		text, _ = s.run(context.Background(), "-server", address, "-tls", "drain", "-data-centre", "dc-a", "-reason", "x", "exec-1")
		Expect(text).To(ContainSubstring("no entry host answered"), "nothing was sent, so the effect is certain")
	})
})
