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

// scrapeTimeout bounds the read of one process's metrics.
const scrapeTimeout = 5 * time.Second

// Reading is the state of one process's meters.
type Reading struct {
	Host    string
	At      time.Time
	CPU     float64 // seconds
	Memory  float64 // resident bytes
	Sent    float64 // bytes over connections, without diagnostics
	Receive float64
	Log     float64 // bytes written to logs
	Commits float64 // proposals
}

// Usage is what one process used between two readings.
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
}

// Between returns the use of a process between two readings.
func Between(a, b Reading) Usage {
	s := b.At.Sub(a.At).Seconds()
	if s <= 0 {
		return Usage{Host: b.Host}
	}
	const kb, mb = 1 << 10, 1 << 20
	return Usage{
		Host: b.Host, CPUPercent: 100 * (b.CPU - a.CPU) / s, MemoryMB: b.Memory / mb,
		SentKB: (b.Sent - a.Sent) / s / kb, ReceivedKB: (b.Receive - a.Receive) / s / kb,
		LogKB: (b.Log - a.Log) / s / kb, Proposals: (b.Commits - a.Commits) / s, Seconds: s,
	}
}

func usageTable(t *table, usage []Usage) {
	if len(usage) == 0 {
		return
	}
	t.row("host", "role", "CPU % of a core", "MB", "KB/s sent", "KB/s received", "log KB/s", "proposals/s")
	for _, u := range usage {
		t.row(u.Host, u.Role, u.CPUPercent, u.MemoryMB, u.SentKB, u.ReceivedKB, u.LogKB, u.Proposals)
	}
}

// Scrape reads the meters of the processes with the given diagnostics
// addresses.
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

// parseMetrics sums the meters over their labels.
func parseMetrics(body io.Reader) (Reading, error) {
	s := Reading{At: time.Now()}
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
		into := map[string]*float64{
			"process_cpu_seconds_total": &s.CPU, "process_resident_memory_bytes": &s.Memory,
			"agatehaven_connection_sent_bytes_total":     &s.Sent,
			"agatehaven_connection_received_bytes_total": &s.Receive,
			"agatehaven_replica_log_bytes_total":         &s.Log,
			"agatehaven_replica_proposals_total":         &s.Commits,
		}[metric]
		if into == nil || strings.Contains(labels, `peer="diagnostics"`) {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return s, err
		}
		*into += value
	}
	return s, lines.Err()
}

// UsageBetween pairs two scrapes of the same processes.
func UsageBetween(before, after []Reading) []Usage {
	out := make([]Usage, 0, len(after))
	for i := range after {
		out = append(out, Between(before[i], after[i]))
	}
	return out
}
