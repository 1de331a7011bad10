package raft_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
)

var (
	simSeeds = flag.Uint64("raft.seeds", 24, "number of seeds of the simulation")
	simFirst = flag.Uint64("raft.first", 1, "first seed of the simulation")
	simSteps = flag.Int("raft.steps", 20000, "steps per seed of the simulation")
)

// regressionSeeds cover cases that the first seeds do not reach. They fail if a
// witness cannot hand over a snapshot, if a handover does not continue after
// the last matching entry or depends on the term, or if lost snapshot chunks
// are not sent again.
var regressionSeeds = []uint64{110, 130, 284}

func TestRaft(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "raft")
}

// runSim runs the simulation with a seed and returns the violated invariant, or
// "". It adds the event counts of the run to totals.
func runSim(seed uint64, totals map[string]int) (failure string) {
	defer func() {
		if v, ok := recover().(violation); ok {
			failure = v.text
		}
	}()
	s := newSim(seed, seed%2 == 0)
	for range *simSteps {
		s.step()
	}
	if !s.heal() {
		return "the group does not recover after all faults have ended" + s.describe()
	}
	if lost := s.lostAcknowledged(); lost != "" {
		return "acknowledged entry lost: " + lost
	}
	for k, n := range s.counts {
		totals[k] += n
	}
	totals["acked"] += len(s.acked)
	totals["steps"] += s.steps
	return ""
}

var _ = Describe("Node", func() {
	It("keeps its invariants under random faults", func() {
		// Guards against two leaders in a term, diverging logs, a leader without
		// all committed entries, replicas that apply different entries, stale
		// reads, lost acknowledged entries and a group that does not recover.
		// The faults are lost, duplicated and reordered messages, partitions,
		// crashes that lose unsynced data, replaced disks and membership changes.
		totals := map[string]int{}
		seeds := slices.Clone(regressionSeeds)
		for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
			seeds = append(seeds, seed)
		}
		for _, seed := range seeds {
			Expect(runSim(seed, totals)).To(BeEmpty(), "seed %d", seed)
		}
		AddReportEntry("totals", fmt.Sprint(totals))
		for _, k := range []string{"crash", "wiped", "snapshot installed", "config", "read", "leader", "acked"} {
			Expect(totals[k]).NotTo(BeZero(), "the test no longer covers: %s", k)
		}
	})

	It("bounds the appends in flight to a member that does not respond", func() {
		// Guards against unbounded growth of the transport's queues.
		config := raft.Configuration{Members: []raft.Member{{ID: "a#1", Host: "a"}, {ID: "b#1", Host: "b"}}}
		n, err := raft.New(raft.Options{ID: "a#1", MaxInflight: 4, Snapshot: raft.SnapshotMeta{Config: config}})
		Expect(err).NotTo(HaveOccurred())
		appends := 0
		processReady := func() {
			for rd, ok := n.Ready(); ok; rd, ok = n.Ready() {
				for _, m := range rd.Messages {
					answer := raft.Message{Type: m.Type + 1, From: "b#1", To: "a#1", Term: m.Term, Index: uint64(len(m.Entries))}
					if m.Type == raft.MsgAppend {
						appends++
					}
					if m.Type != raft.MsgAppend || appends == 1 {
						defer n.Step(answer)
					}
				}
				n.Advance(rd)
			}
		}
		for range 40 {
			n.Tick()
			processReady()
		}
		for range 100 {
			_, _, err := n.Propose([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			processReady()
		}
		Expect(appends).To(Equal(1 + 4))
	})

	It("commits entries of earlier terms only with one of its own", func() {
		// Guards against committing an entry that a later leader can still
		// replace (figure 8 of the Raft paper).
		config := raft.Configuration{}
		for _, h := range []string{"a", "b", "c"} {
			config.Members = append(config.Members, raft.Member{ID: raft.MemberID(h, "1"), Host: h})
		}
		n, err := raft.New(raft.Options{
			ID: "a#1", HardState: raft.HardState{Term: 3, Voted: true}, Snapshot: raft.SnapshotMeta{Config: config},
			Entries: []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
		})
		Expect(err).NotTo(HaveOccurred())
		step := func(m raft.Message) {
			m.From, m.To = "b#1", "a#1"
			n.Step(m)
			for rd, ok := n.Ready(); ok; rd, ok = n.Ready() {
				n.Advance(rd)
			}
		}
		for n.Status().Role != raft.PreCandidate {
			n.Tick()
		}
		step(raft.Message{Type: raft.MsgPreVoteResponse, Term: 4})
		step(raft.Message{Type: raft.MsgVoteResponse, Term: 4})
		Expect(n.Status().Role).To(Equal(raft.Leader))
		step(raft.Message{Type: raft.MsgAppendResponse, Term: 4, Index: 2})
		Expect(n.Commit()).To(BeZero())
		// A membership change that starts before this could coexist with an
		// uncommitted one of an earlier leader, and their quorums need not
		// overlap.
		_, _, err = n.ProposeAdd(raft.Member{ID: "d#1", Host: "d"})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodePrecondition))
		step(raft.Message{Type: raft.MsgAppendResponse, Term: 4, Index: 3})
		Expect(n.Commit()).To(Equal(uint64(3)))
		// The leader's own copy counts only once it is durable.
		index, _, err := n.Propose([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		n.Step(raft.Message{Type: raft.MsgAppendResponse, From: "b#1", To: "a#1", Term: 4, Index: index})
		Expect(n.Commit()).To(Equal(uint64(3)))
		step(raft.Message{Type: raft.MsgHeartbeatResponse, Term: 4})
		Expect(n.Commit()).To(Equal(index))
	})

	It("promotes a learner in an idle group whose snapshot covers the whole log", func() {
		// Guards against a learner that has caught up by a snapshot but is not
		// promoted before the next entry, since there was nothing left to send
		// to it.
		leader, err := raft.New(raft.Options{ID: "a#1", Snapshot: raft.SnapshotMeta{
			Config: raft.Configuration{Members: []raft.Member{{ID: "a#1", Host: "a"}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		learner, err := raft.New(raft.Options{ID: "d#1"})
		Expect(err).NotTo(HaveOccurred())
		partitioned := true
		processReady := func(n, other *raft.Node) {
			for rd, ok := n.Ready(); ok; rd, ok = n.Ready() {
				n.Advance(rd)
				for _, m := range rd.Messages {
					if m.Type == raft.MsgSnapshot {
						m.Chunk = []byte("s")
					}
					if !partitioned {
						other.Step(m)
					}
				}
			}
		}
		runTicks := func(ticks int) {
			for range ticks {
				leader.Tick()
				for range 4 {
					processReady(leader, learner)
					processReady(learner, leader)
				}
			}
		}
		runTicks(40)
		Expect(leader.Status().Role).To(Equal(raft.Leader))
		_, _, err = leader.ProposeAdd(raft.Member{ID: "d#1", Host: "d"})
		Expect(err).NotTo(HaveOccurred())
		runTicks(1)
		index := leader.Commit()
		leader.Compact(raft.SnapshotMeta{Index: index, Term: leader.Status().Term, Config: leader.ConfigAt(index), Size: 1}, raft.Retention{})
		partitioned = false
		runTicks(40)
		Expect(learner.Commit()).To(BeNumerically(">", index))
		Expect(leader.Status().Config.Voters()).To(Equal([]string{"a#1", "d#1"}))
	})

	It("undoes a membership change when its entry is replaced", func() {
		// Guards against a quorum that counts members of a change that was
		// never committed.
		config := raft.Configuration{Members: []raft.Member{{ID: "a#1", Host: "a"}, {ID: "b#1", Host: "b"}}}
		larger := raft.Configuration{Members: append(slices.Clone(config.Members), raft.Member{ID: "c#1", Host: "c"})}
		data, err := larger.Encode()
		Expect(err).NotTo(HaveOccurred())
		n, err := raft.New(raft.Options{
			ID: "a#1", HardState: raft.HardState{Term: 1, Voted: true}, Snapshot: raft.SnapshotMeta{Config: config},
			Entries: []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Type: raft.EntryConfig, Data: data}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Status().Config).To(Equal(larger))
		n.Step(raft.Message{
			Type: raft.MsgAppend, From: "b#1", To: "a#1", Term: 2, Index: 1, LogTerm: 1,
			Entries: []raft.Entry{{Index: 2, Term: 2}},
		})
		Expect(n.Status().Config).To(Equal(config))
	})

	It("recognises a lost disk after it has learned the term of the group", func() {
		// Guards against a vote from a replica that lost committed entries:
		// after a rejected pre-vote it had a term, so it did not look new.
		config := raft.Configuration{}
		for _, h := range []string{"a", "b", "c"} {
			config.Members = append(config.Members, raft.Member{ID: raft.MemberID(h, "1"), Host: h})
		}
		n, err := raft.New(raft.Options{ID: "a#1", Snapshot: raft.SnapshotMeta{Config: config}})
		Expect(err).NotTo(HaveOccurred())
		for n.Status().Role != raft.PreCandidate {
			n.Tick()
		}
		n.Step(raft.Message{Type: raft.MsgPreVoteResponse, From: "b#1", To: "a#1", Term: 3, Reject: true})
		Expect(n.Status().Term).To(Equal(uint64(3)))
		n.Step(raft.Message{Type: raft.MsgVote, From: "c#1", To: "a#1", Term: 5, Index: 2, LogTerm: 4})
		Expect(n.Status().LostDisk).To(BeTrue())
		Expect(n.Status().Term).To(Equal(uint64(3)))
	})
})
