package raft_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/raft"
)

var update = flag.Bool("update", false, "rewrite the transcripts in testdata")

// session runs the commands of a transcript and records the output of the
// nodes.
type session struct {
	out      strings.Builder
	nodes    map[string]*raft.Node
	order    []string
	config   raft.Configuration
	network  []raft.Message
	isolated map[string]bool
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }

// run executes one command line.
func (s *session) run(line string) {
	words := strings.Fields(line)
	name := ""
	if len(words) > 1 {
		name = words[1]
	}
	n := s.nodes[name]
	var err error
	switch words[0] {
	case "voters":
		for _, h := range words[1:] {
			host := strings.TrimPrefix(h, "witness:")
			m := raft.Member{ID: raft.MemberID(host, "1"), Host: host, Witness: host != h}
			s.config.Members = append(s.config.Members, m)
		}
		for _, m := range s.config.Members {
			s.add(m.Host, s.config)
		}
	case "joiner":
		s.add(name, raft.Configuration{})
	case "tick":
		count, convErr := strconv.Atoi(words[2])
		Expect(convErr).NotTo(HaveOccurred())
		for range count {
			n.Tick()
			s.flush(name)
		}
	case "deliver":
		s.deliver()
	case "cut":
		s.isolated[name] = true
	case "heal":
		delete(s.isolated, name)
	case "propose":
		_, _, err = n.Propose([]byte(words[2]))
	case "read":
		err = n.ReadIndex(7)
	case "add":
		_, _, err = n.ProposeAdd(raft.Member{ID: raft.MemberID(words[2], "1"), Host: words[2]})
	case "standby":
		_, _, err = n.ProposeAdd(raft.Member{ID: raft.MemberID(words[2], "1"), Host: words[2], Standby: true})
	case "promote":
		_, _, err = n.ProposePromote(raft.MemberID(words[2], "1"))
	case "remove":
		_, _, err = n.ProposeRemove(raft.MemberID(words[2], "1"))
	case "transfer":
		_, err = n.TransferLeadership()
	case "intruder":
		// Messages from an id that is not a member, with a high term.
		n.Step(raft.Message{Type: raft.MsgVote, From: "x#9", To: n.Status().ID, Term: 99, Index: 99, LogTerm: 99})
		n.Step(raft.Message{Type: raft.MsgAppend, From: "x#9", To: n.Status().ID, Term: 99})
	case "status":
		for _, h := range s.order {
			st := s.nodes[h].Status()
			s.printf("%s %s term=%d leader=%q committed=%d last=%d", h, st.Role, st.Term, st.Leader, st.Committed, st.Last)
		}
	default:
		Fail("unknown command " + line)
	}
	if err != nil {
		s.printf("error: %v", err)
	}
	if n != nil {
		s.flush(name)
	}
}

func (s *session) add(host string, config raft.Configuration) {
	n, err := raft.New(raft.Options{
		Group: "g", ID: raft.MemberID(host, "1"), Seed: uint64(host[0]), Snapshot: raft.SnapshotMeta{Config: config},
	})
	Expect(err).NotTo(HaveOccurred())
	s.nodes[host] = n
	s.order = append(s.order, host)
}

func (s *session) flush(name string) {
	n := s.nodes[name]
	for {
		rd, ok := n.Ready()
		if !ok {
			return
		}
		if rd.HardState != nil {
			s.printf("%s stores term=%d vote=%s", name, rd.HardState.Term, rd.HardState.Vote)
		}
		for _, e := range rd.Committed {
			s.printf("%s applies %d/%d %s", name, e.Index, e.Term, describeEntry(e))
		}
		for _, r := range rd.Reads {
			s.printf("%s serves read %d at %d", name, r.ID, r.Index)
		}
		s.network = append(s.network, rd.Messages...)
		n.Advance(rd)
	}
}

func describeEntry(e raft.Entry) string {
	if e.Type != raft.EntryConfig {
		return string(e.Data)
	}
	c, err := raft.DecodeConfiguration(e.Data)
	Expect(err).NotTo(HaveOccurred())
	var members []string
	for _, m := range c.Members {
		text := m.ID
		switch {
		case m.Standby:
			text += "(standby)"
		case m.Learner:
			text += "(learner)"
		}
		members = append(members, text)
	}
	return strings.Join(members, ",")
}

// deliver delivers the queued messages in order until none is left.
func (s *session) deliver() {
	for len(s.network) > 0 {
		m := s.network[0]
		s.network = s.network[1:]
		from, to := raft.HostOf(m.From), raft.HostOf(m.To)
		if s.isolated[from] || s.isolated[to] {
			continue
		}
		s.printf("%s->%s %s term=%d index=%d/%d commit=%d entries=%d reject=%t",
			from, to, m.Type, m.Term, m.Index, m.LogTerm, m.Commit, len(m.Entries), m.Reject)
		if n := s.nodes[to]; n != nil {
			n.Step(m)
			s.flush(to)
		}
	}
}

var _ = Describe("Transcripts", func() {
	// The header of each transcript in testdata states the failure that it guards
	// against.
	files, _ := filepath.Glob("testdata/*.txt")
	slices.Sort(files)
	for _, file := range files {
		It(filepath.Base(file), func() {
			golden, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			s := &session{nodes: map[string]*raft.Node{}, isolated: map[string]bool{}}
			for _, line := range strings.Split(string(golden), "\n") {
				switch {
				case strings.HasPrefix(line, "#"):
					s.printf("%s", line)
				case strings.HasPrefix(line, "> "):
					s.printf("%s", line)
					s.run(line[2:])
				}
			}
			if *update {
				Expect(os.WriteFile(file, []byte(s.out.String()), 0o600)).To(Succeed())
			}
			Expect(s.out.String()).To(Equal(string(golden)))
		})
	}
})
