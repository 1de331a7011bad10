package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
)

// scrapeTimeout is the time limit for reading the metrics of all processes.
const scrapeTimeout = 5 * time.Second

// Reading holds the metrics of one process at one time.
type Reading struct {
	Host     string
	At       time.Time
	CPU      float64 // seconds
	Memory   float64 // resident bytes
	Sent     float64 // bytes over connections, without diagnostics
	Received float64
	Log      float64 // bytes written to logs
	Commits  float64 // proposals
	// Sync holds the durations of the raft logs' syncs to disk, Commit the times
	// from proposal to commit on leaders.
	Sync   Histogram
	Commit Histogram
}

// Usage is the resource usage of one process between two readings.
type Usage struct {
	Host string `json:"host"`
	// Role is its role in the data centre group under load, or empty.
	Role       string  `json:"role"`
	CPUPercent float64 `json:"cpu_percent"` // of one core
	MemoryMB   float64 `json:"memory_mb"`   // resident, at the end
	SentKB     float64 `json:"sent_kb_per_second"`
	ReceivedKB float64 `json:"received_kb_per_second"`
	LogKB      float64 `json:"log_kb_per_second"`
	Proposals  float64 `json:"proposals_per_second"`
	Seconds    float64 `json:"seconds"`
	// The latency of a request depends mostly on these times.
	SyncP50MS   float64 `json:"sync_p50_ms"`
	SyncP99MS   float64 `json:"sync_p99_ms"`
	CommitP99MS float64 `json:"commit_p99_ms"`
}

// Between returns the resource usage of a process between two readings.
func Between(a, b Reading) Usage {
	s := b.At.Sub(a.At).Seconds()
	if s <= 0 {
		return Usage{Host: b.Host}
	}
	const kb, mb = 1 << 10, 1 << 20
	sync, commit := b.Sync.since(a.Sync), b.Commit.since(a.Commit)
	return Usage{
		Host: b.Host, CPUPercent: 100 * (b.CPU - a.CPU) / s, MemoryMB: b.Memory / mb,
		SentKB: (b.Sent - a.Sent) / s / kb, ReceivedKB: (b.Received - a.Received) / s / kb,
		LogKB: (b.Log - a.Log) / s / kb, Proposals: (b.Commits - a.Commits) / s, Seconds: s,
		SyncP50MS: sync.quantileMS(0.5), SyncP99MS: sync.quantileMS(0.99), CommitP99MS: commit.quantileMS(0.99),
	}
}

func usageTable(t *table, usage []Usage) {
	if len(usage) == 0 {
		return
	}
	t.row("host", "role", "CPU % of a core", "MB", "KB/s sent", "KB/s received", "log KB/s", "proposals/s",
		"sync p50 ms", "p99", "commit p99 ms")
	for _, u := range usage {
		t.row(u.Host, u.Role, u.CPUPercent, u.MemoryMB, u.SentKB, u.ReceivedKB, u.LogKB, u.Proposals,
			u.SyncP50MS, u.SyncP99MS, u.CommitP99MS)
	}
}

// Scrape reads the metrics of the processes at the given diagnostics addresses.
func Scrape(ctx context.Context, addresses []string) ([]Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	readings := make([]Reading, 0, len(addresses))
	for _, address := range addresses {
		body, err := get(ctx, "http://"+address+"/metrics")
		if err != nil {
			return nil, err
		}
		s, err := parseMetrics(body)
		_ = body.Close()
		if err != nil {
			return nil, &fault.Corrupt{What: "metrics of " + address, Reason: err.Error()}
		}
		if s.Host == "" {
			s.Host = address
		}
		readings = append(readings, s)
	}
	return readings, nil
}

// get returns the body of a successful response. The caller closes it.
func get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &fault.Invalid{Field: "address", Reason: err.Error()}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, &fault.Unavailable{What: url, Reason: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &fault.Unavailable{What: url, Reason: response.Status}
	}
	return response.Body, nil
}

var hostLabel = regexp.MustCompile(`host="([^"]*)"`)

// parseMetrics sums each metric over its labels. It leaves out the traffic of
// the diagnostics listener, which the measurement itself causes.
func parseMetrics(body io.Reader) (Reading, error) {
	s := Reading{At: time.Now(), Sync: Histogram{}, Commit: Histogram{}}
	histograms := map[string]Histogram{
		"agatehaven_replica_sync_seconds_bucket": s.Sync, "agatehaven_replica_commit_seconds_bucket": s.Commit,
	}
	counters := map[string]*float64{
		"process_cpu_seconds_total": &s.CPU, "process_resident_memory_bytes": &s.Memory,
		"agatehaven_connection_sent_bytes_total":     &s.Sent,
		"agatehaven_connection_received_bytes_total": &s.Received,
		"agatehaven_replica_log_bytes_total":         &s.Log,
		"agatehaven_replica_proposals_total":         &s.Commits,
	}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		metric, labels, _ := strings.Cut(name, "{")
		if m := hostLabel.FindStringSubmatch(labels); m != nil {
			s.Host = m[1]
		}
		into := counters[metric]
		histogram := histograms[metric]
		if into == nil && histogram == nil || strings.Contains(labels, `peer="diagnostics"`) {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return s, err
		}
		if histogram != nil {
			histogram.add(labels, value)
			continue
		}
		*into += value
	}
	return s, lines.Err()
}

// UsageBetween returns the usage of each process between two scrapes of the
// same addresses.
func UsageBetween(before, after []Reading) []Usage {
	out := make([]Usage, 0, len(after))
	for i := range after {
		out = append(out, Between(before[i], after[i]))
	}
	return out
}
