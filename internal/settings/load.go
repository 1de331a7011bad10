package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Load reads and checks the settings file at path. It returns *RefusedError
// with all problems, or the error of reading the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and checks the content of a settings file; path is used in
// errors only.
func Parse(path string, data []byte) (*Settings, error) {
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, &RefusedError{Path: path, Problems: []Problem{syntaxProblem(err)}}
	}
	c := &checker{lines: keyLines(data)}
	s := readSettings(&table{c: c, values: values})
	checkHosts(c, s)
	checkGroups(c, s)
	checkListeners(c, s)
	checkRelations(c, s)
	if len(c.problems) > 0 {
		return nil, &RefusedError{Path: path, Problems: c.sortedProblems()}
	}
	return s, nil
}

func syntaxProblem(err error) Problem {
	p := Problem{Key: "TOML", Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		p.Line, _ = decode.Position()
		if key := strings.Join(decode.Key(), "."); key != "" {
			p.Key = key
		}
	}
	return p
}

func readSettings(t *table) *Settings {
	s := &Settings{
		Host:       t.name("host"),
		DataCentre: t.name("data_centre"),
		Region:     t.name("region"),
		DataFolder: t.str("data_folder", ""),
		Bootstrap:  t.boolean("bootstrap", false),
		Listen:     readListen(t.sub("listen")),
		Platform:   readPlatform(t.sub("platform")),
		Limits:     readLimits(t.sub("limits")),
		Timing:     readTiming(t.sub("timing")),
		Policy:     readPolicy(t.sub("policy")),
		TLS:        readTLS(t.sub("tls")),
		Log:        readLog(t.sub("log")),
	}
	for _, item := range t.list("hosts") {
		s.Hosts = append(s.Hosts, readHost(item))
	}
	for _, item := range t.list("groups") {
		s.Groups = append(s.Groups, readGroup(item))
	}
	if s.DataFolder != "" && !filepath.IsAbs(s.DataFolder) {
		t.report("data_folder", "is not an absolute path", "an absolute path, or empty on a host without a disk")
	}
	t.reportUnknownKeys()
	return s
}

func readListen(t *table) Listen {
	defer t.reportUnknownKeys()
	return Listen{
		Caller:      t.address("caller", true),
		Target:      t.address("target", true),
		Operator:    t.address("operator", true),
		Peer:        t.address("peer", true),
		Diagnostics: t.address("diagnostics", true),
	}
}

func readHost(t *table) Host {
	defer t.reportUnknownKeys()
	return Host{
		Name:       t.name("name"),
		DataCentre: t.name("data_centre"),
		Peer:       t.address("peer", true),
		Operator:   t.address("operator", true),
		HasDisk:    t.boolean("has_disk", false),
	}
}

func readGroup(t *table) Group {
	defer t.reportUnknownKeys()
	return Group{
		Name:       t.name("name"),
		Voters:     t.names("voters"),
		Witnesses:  t.names("witnesses"),
		SingleDisk: t.boolean("single_disk", false),
	}
}

func readPlatform(t *table) Platform {
	defer t.reportUnknownKeys()
	return Platform{Address: t.address("address", false)}
}

func readLimits(t *table) Limits {
	defer t.reportUnknownKeys()
	return Limits{
		PayloadBytes:      t.integer("payload_bytes", 256<<10, 1<<10, 1<<20),
		AnswerBytes:       t.integer("answer_bytes", 256<<10, 1<<10, 1<<20),
		StoredBytes:       t.integer("stored_bytes", 48<<20, 1<<20, 1<<30),
		QueueRequests:     t.integer("queue_requests", 10_000, 1, 100_000),
		LedgerRequests:    t.integer("ledger_requests", 100_000, 10, 1_000_000),
		RetainedKeys:      t.integer("retained_keys", 200_000, 10, 1_000_000),
		AnswerRetention:   t.duration("answer_retention", 10*time.Minute, time.Minute, 24*time.Hour),
		KeyRetention:      t.duration("key_retention", 24*time.Hour, time.Hour, 7*24*time.Hour),
		Events:            t.integer("events", 65_536, 1_024, 1<<20),
		ProposalsInFlight: t.integer("proposals_in_flight", 1_024, 16, 65_536),
		MessageBytes:      t.integer("message_bytes", 4<<20, 128<<10, 64<<20),
	}
}

func readTiming(t *table) Timing {
	defer t.reportUnknownKeys()
	return Timing{
		Tick:            t.duration("tick", 50*time.Millisecond, 5*time.Millisecond, time.Second),
		ElectionTicks:   t.integer("election_ticks", 14, 3, 100),
		Lease:           t.duration("lease", 5*time.Second, 100*time.Millisecond, time.Minute),
		PollWait:        t.duration("poll_wait", time.Second, 10*time.Millisecond, 10*time.Second),
		SilenceLimit:    t.duration("silence_limit", 3*time.Second, 50*time.Millisecond, 30*time.Second),
		DrainBound:      t.duration("drain_bound", 30*time.Minute, time.Second, 24*time.Hour),
		SnapshotEntries: t.integer("snapshot_entries", 10_000, 16, 1_000_000),
	}
}

func readPolicy(t *table) Policy {
	defer t.reportUnknownKeys()
	return Policy{
		MovesWeight:   t.float("moves_weight", 1, 100),
		BufferWeight:  t.float("buffer_weight", 1, 100),
		RolloutWeight: t.float("rollout_weight", 1, 100),
		LendSpare:     t.boolean("lend_spare", true),
		LendIdleSlots: t.boolean("lend_idle_slots", true),
		RetryTokens:   t.integer("retry_tokens", 100, 0, 100_000),
		RetryRefill:   t.float("retry_refill_per_success", 0.2, 1),
	}
}

func readTLS(t *table) TLS {
	defer t.reportUnknownKeys()
	return TLS{
		Peer:     readTLSFiles(t.sub("peer")),
		Target:   readTLSFiles(t.sub("target")),
		Operator: readTLSFiles(t.sub("operator")),
	}
}

func readTLSFiles(t *table) TLSFiles {
	defer t.reportUnknownKeys()
	f := TLSFiles{
		Certificate: t.str("certificate", ""),
		Key:         t.str("key", ""),
		CA:          t.str("ca", ""),
		Mutual:      t.boolean("mutual", false),
	}
	if (f.Certificate == "") != (f.Key == "") {
		t.report("", "has a certificate without a key, or a key without a certificate", "both or neither")
	}
	if f.Mutual && (f.CA == "" || f.Certificate == "") {
		t.report("mutual", "needs a certificate, a key and a CA", "true only with certificate, key and ca")
	}
	return f
}

func readLog(t *table) Log {
	defer t.reportUnknownKeys()
	return Log{
		Level:     t.choice("level", "info", "debug", "info", "warn", "error"),
		File:      t.str("file", ""),
		MaxFileMB: t.integer("max_file_mb", 64, 1, 4096),
	}
}
