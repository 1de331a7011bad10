// Package e2e_test checks the guarantees of the system end to end: daemons in
// separate processes, fake targets, and proxies between the entry hosts that
// can make connections silent to simulate partitions.
package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/load"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// Timeouts of the tests. They are far above the bounds of docs/design.md, so
// that tests do not fail on a busy host. Guaranteed bounds are asserted
// separately.
const (
	readyTimeout  = 60 * time.Second
	settleTimeout = 30 * time.Second
	pollInterval  = 50 * time.Millisecond
)

var binaries string

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "end to end")
}

var _ = BeforeSuite(func() {
	folder, err := os.MkdirTemp("", "agatehaven-e2e-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, folder)
	build := exec.Command("go", "build", "-o", folder+"/", "agatehaven.dev/agatehaven/cmd/agatehavend", "agatehaven.dev/agatehaven/cmd/agatehavenctl")
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	binaries = folder
})

// host is one entry host of the region under test. The fields caller, target,
// operator, peer and diagnostics are the addresses of its listeners.
type host struct {
	name, dataCentre                            string
	caller, target, operator, peer, diagnostics string
	process                                     *exec.Cmd
	exited                                      chan struct{}
	// operatorClient calls the operator listener, with operatorScheme.
	operatorClient *http.Client
	operatorScheme string
}

// region is a region of three data centres with 3, 2 and 2 entry hosts.
type region struct {
	folder string
	hosts  []*host
	links  map[[2]string]*link // from, to
	fleets map[string]*standin.Fleet
	client *load.Client
	peers  peer.Dialer
	// authority signs the certificates; nil without TLS.
	authority *authority
	// extraSettings is appended to the settings file of every daemon.
	extraSettings string
}

var regionHosts = []struct{ name, dataCentre string }{
	{"entry-a1", "dc-a"},
	{"entry-a2", "dc-a"},
	{"entry-a3", "dc-a"},
	{"entry-b1", "dc-b"},
	{"entry-b2", "dc-b"},
	{"entry-c1", "dc-c"},
	{"entry-c2", "dc-c"},
}

// startRegion starts all processes, applies the sample records and waits
// until every host is ready. adjust, if not nil, changes the configuration of
// each stand-in fleet.
func startRegion(adjust func(*standin.Config)) *region {
	GinkgoHelper()
	return newRegion(nil).run(adjust)
}

// startRegionWithSettings is like startRegion, with additional settings for
// the daemons.
func startRegionWithSettings(extraSettings string, adjust func(*standin.Config)) *region {
	GinkgoHelper()
	r := newRegion(nil)
	r.extraSettings = extraSettings
	return r.run(adjust)
}

// newRegion returns a region whose processes are not started yet, with TLS if
// ca is not nil.
func newRegion(ca *authority) *region {
	r := &region{
		folder: GinkgoT().TempDir(), links: map[[2]string]*link{}, fleets: map[string]*standin.Fleet{}, authority: ca,
	}
	DeferCleanup(r.close)
	for _, s := range regionHosts {
		r.hosts = append(r.hosts, &host{
			name: s.name, dataCentre: s.dataCentre, operatorClient: http.DefaultClient, operatorScheme: "http://",
			caller: freeAddress(), target: freeAddress(), operator: freeAddress(), peer: freeAddress(), diagnostics: freeAddress(),
		})
	}
	if ca != nil {
		r.writeCertificates()
	}
	return r
}

// run starts the region's processes as described for startRegion.
func (r *region) run(adjust func(*standin.Config)) *region {
	GinkgoHelper()
	r.peers = r.directPeerDialer()
	r.startFleets(adjust)
	r.startLinks()
	for _, h := range r.hosts {
		r.writeSettings(h)
		r.start(h)
	}
	var callers []string
	for _, h := range r.hosts {
		callers = append(callers, h.caller)
	}
	r.client = load.NewClient(callers)
	for _, h := range r.hosts {
		r.waitReady(h)
	}
	r.ctl("-timeout", "60s", "apply", "-f", repoFile("examples/records.toml"))
	Eventually(r.countReadyTargets).WithTimeout(readyTimeout).WithPolling(pollInterval).Should(Equal(54))
	return r
}

// The ports lie below the operating system's ephemeral port range, so that no
// outgoing connection of another process occupies one.
const (
	firstPort = 20_000
	portCount = 12_000
)

var nextPort = os.Getpid() * 131 % portCount

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	GinkgoHelper()
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	Fail("no free port")
	return ""
}

func repoFile(path string) string { return filepath.Join("..", "..", path) }

func (r *region) startFleets(adjust func(*standin.Config)) {
	for _, dc := range []string{"dc-a", "dc-b", "dc-c"} {
		cfg := standin.Config{
			Targets: 18, DataCentre: dc, Racks: []string{dc + "-r1", dc + "-r2", dc + "-r3", dc + "-r4", dc + "-r5"},
			Pools:            []string{"proofs", "plotters", "conversions", "draw", "ledger", "spare"},
			AnnounceInterval: 250 * time.Millisecond,
		}
		for _, h := range r.hosts {
			if h.dataCentre == dc {
				cfg.EntryHosts = append(cfg.EntryHosts, h.target)
			}
		}
		if r.authority != nil {
			cfg.TLS = r.authority.clientConfig("target")
		}
		if adjust != nil {
			adjust(&cfg)
		}
		fleet, err := standin.Start(cfg)
		Expect(err).NotTo(HaveOccurred())
		r.fleets[dc] = fleet
	}
}

func (r *region) startLinks() {
	for _, from := range r.hosts {
		for _, to := range r.hosts {
			if from == to {
				continue
			}
			l, err := newLink(to.peer)
			Expect(err).NotTo(HaveOccurred())
			r.links[[2]string{from.name, to.name}] = l
		}
	}
}

func (r *region) writeSettings(h *host) {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("host = %q\ndata_centre = %q\nregion = \"test\"", h.name, h.dataCentre)
	line("data_folder = %q\nbootstrap = true", r.dataFolder(h))
	line("[listen]\ncaller = %q\ntarget = %q\noperator = %q\npeer = %q\ndiagnostics = %q", h.caller, h.target, h.operator, h.peer, h.diagnostics)
	for _, other := range r.hosts {
		address := other.peer
		if other != h {
			address = r.links[[2]string{h.name, other.name}].listener.Addr().String()
		}
		line("[[hosts]]\nname = %q\ndata_centre = %q\npeer = %q\noperator = %q\nhas_disk = true", other.name, other.dataCentre, address, other.operator)
	}
	line("[[groups]]\nname = \"region\"\nvoters = [\"entry-a1\", \"entry-b1\", \"entry-c1\"]")
	line("[[groups]]\nname = \"dc-a\"\nvoters = [\"entry-a1\", \"entry-a2\", \"entry-a3\"]")
	line("[[groups]]\nname = \"dc-b\"\nvoters = [\"entry-b1\", \"entry-b2\"]\nwitnesses = [\"entry-c1\"]")
	line("[[groups]]\nname = \"dc-c\"\nvoters = [\"entry-c1\", \"entry-c2\"]\nwitnesses = [\"entry-a1\"]")
	line("[platform]\naddress = %q", r.fleets[h.dataCentre].ControlAddress())
	line("[timing]\nsnapshot_entries = 100")
	if r.authority != nil {
		for _, listener := range []string{"peer", "target", "operator"} {
			line("[tls.%s]\ncertificate = %q\nkey = %q\nca = %q\nmutual = true", listener,
				r.certificateFile(h.name), r.keyFile(h.name), r.authorityFile())
		}
	}
	line("%s", r.extraSettings)
	Expect(os.WriteFile(r.settingsFile(h), []byte(b.String()), 0o600)).To(Succeed())
}

func (r *region) settingsFile(h *host) string { return filepath.Join(r.folder, h.name+".toml") }
func (r *region) dataFolder(h *host) string   { return filepath.Join(r.folder, "data", h.name) }

// start starts the daemon of a host. Its log is part of the report if the test
// fails.
func (r *region) start(h *host) {
	GinkgoHelper()
	log, err := os.OpenFile(filepath.Join(r.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(binaries, "agatehavend"), "run", "-settings", r.settingsFile(h))
	cmd.Stderr = log
	Expect(cmd.Start()).To(Succeed())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.process, h.exited = cmd, exited
}

// waitReady waits until a host reports that it is ready to serve callers.
func (r *region) waitReady(h *host) {
	GinkgoHelper()
	Eventually(func() int {
		response, err := http.Get("http://" + h.diagnostics + "/readyz")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}).WithTimeout(readyTimeout).WithPolling(pollInterval).Should(Equal(http.StatusOK), h.name)
}

// waitAllReachable waits until every entry host is ready and reaches all
// others, after restarts or partitions.
func (r *region) waitAllReachable() {
	GinkgoHelper()
	for _, h := range r.hosts {
		r.waitReady(h)
	}
	for _, h := range r.hosts {
		Eventually(func() error {
			status, err := getJSON[query.Status](h, "/v1/status")
			if err == nil && len(status.Unreachable) > 0 {
				err = &fault.Unavailable{What: strings.Join(status.Unreachable, ", "), Reason: "not reached from " + h.name}
			}
			return err
		}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(Succeed())
	}
}

// signal sends a signal to the daemon of a host.
func (r *region) signal(h *host, s syscall.Signal) {
	GinkgoHelper()
	Expect(h.process.Process.Signal(s)).To(Succeed())
}

// kill ends the daemon of a host by SIGKILL and waits until it has exited.
func (r *region) kill(h *host) {
	GinkgoHelper()
	r.signal(h, syscall.SIGKILL)
	Eventually(h.exited).WithTimeout(settleTimeout).Should(BeClosed())
}

func (r *region) close() {
	for _, h := range r.hosts {
		if h.process != nil {
			_ = h.process.Process.Signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	for _, l := range r.links {
		l.close()
	}
	for _, f := range r.fleets {
		f.Close()
	}
	if CurrentSpecReport().Failed() {
		for _, h := range r.hosts {
			log, _ := os.ReadFile(filepath.Join(r.folder, h.name+".log"))
			GinkgoWriter.Printf("--- log of %s\n%s", h.name, log)
		}
	}
}

func (r *region) host(name string) *host {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	Fail("no host " + name)
	return nil
}

// partition sets the mode of the links between the hosts of a data centre and
// all other hosts, in both directions.
func (r *region) partition(dataCentre string, mode linkMode) {
	for _, from := range r.hosts {
		for _, to := range r.hosts {
			if from != to && (from.dataCentre == dataCentre) != (to.dataCentre == dataCentre) {
				r.links[[2]string{from.name, to.name}].setMode(mode)
			}
		}
	}
}

// isolate sets the mode of all links from and to one host.
func (r *region) isolate(name string, mode linkMode) {
	for key, l := range r.links {
		if key[0] == name || key[1] == name {
			l.setMode(mode)
		}
	}
}

// ctl runs agatehavenctl, which must succeed, and returns its output.
func (r *region) ctl(args ...string) string {
	GinkgoHelper()
	out, err := r.tryCtl(args...)
	Expect(err).NotTo(HaveOccurred(), out)
	return out
}

func (r *region) tryCtl(args ...string) (string, error) {
	var servers []string
	for _, h := range r.hosts {
		servers = append(servers, h.operator)
	}
	flags := []string{"-operator", "test", "-server", strings.Join(servers, ",")}
	if r.authority != nil {
		flags = append(flags, "-tls-ca", r.authorityFile(), "-tls-cert", r.certificateFile(operatorName), "-tls-key", r.keyFile(operatorName))
	}
	return runCtl(append(flags, args...)...)
}

func runCtl(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binaries, "agatehavenctl"), args...).CombinedOutput()
	return string(out), err
}

// getJSON sends an operator's query to one host and decodes the answer.
func getJSON[T any](h *host, path string) (*T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.operatorScheme+h.operator+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := h.operatorClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	var out T
	return &out, json.Unmarshal(data, &out)
}

// countReadyTargets returns the number of ready targets, or -1 if the query
// fails.
func (r *region) countReadyTargets() int {
	hosts, err := getJSON[query.Hosts](r.hosts[1], "/v1/hosts")
	if err != nil {
		return -1
	}
	n := 0
	for i := range hosts.Hosts {
		if hosts.Hosts[i].State == "ready" {
			n++
		}
	}
	return n
}

// leader returns the host that leads a group in the highest term that any
// process reports. It waits until there is one.
func (r *region) leader(group string) *host {
	GinkgoHelper()
	var leader *host
	Eventually(func() *host {
		statuses := make([]*replica.Status, len(r.hosts))
		var wg sync.WaitGroup
		for i, h := range r.hosts {
			wg.Go(func() { statuses[i] = r.status(h, group) })
		}
		wg.Wait()
		leader = nil
		term := uint64(0)
		for i, s := range statuses {
			if s != nil && s.Role == replica.RoleLeader && s.Term > term {
				leader, term = r.hosts[i], s.Term
			}
		}
		return leader
	}).WithTimeout(settleTimeout).WithPolling(pollInterval).ShouldNot(BeNil())
	return leader
}

// runCount returns how many runs of a request have started on all targets.
func (r *region) runCount(key string) int {
	n := 0
	for _, f := range r.fleets {
		n += f.RunCount(key)
	}
	return n
}

// requestBody returns a request of a job kind whose task runs for the given
// time.
func requestBody(kind string, run time.Duration) caller.Body {
	team := map[string]string{"draw": "markets", "fee_charge": "markets", "archival_conversion": "archive"}[kind]
	if team == "" {
		team = "print-shop"
	}
	return caller.Body{
		Kind: kind, Team: team, Payload: fmt.Appendf(nil, `{"run_ms":%d}`, run.Milliseconds()),
		DeadlineMS: 30_000, WaitMS: 30_000,
	}
}
