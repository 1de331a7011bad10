package raft_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/testsupport/faultfs"
	"agatehaven.dev/agatehaven/internal/wal"
)

// sim simulates a group of nodes with real log storage on in-memory disks and a
// network that drops, duplicates and reorders messages. It checks the
// protocol's invariants after every step. A run is determined by its seed.
type sim struct {
	random       *rand.Rand
	hosts        []*simHost
	network      []raft.Message
	blocked      map[[2]string]bool // from one host to another
	initial      raft.Configuration
	incarnations int
	steps        int
	faultRate    int // per thousand steps
	counts       map[string]int

	leaders map[uint64]string
	// links maps the (index, term) of an entry to its content and the term of
	// the entry before it: two logs that share an entry must also share the
	// entries before it.
	links map[[2]uint64]string
	// applied holds the committed entry at each index, state the hash of all
	// entries up to that index.
	applied          map[uint64]raft.Entry
	state            map[uint64]uint64
	highestCommitted uint64 // index
	acked            map[string]bool
	reads            map[uint64]uint64 // read id to the highest committed index at its start
	nextID           uint64
	replacedDisks    map[string]bool // ids whose disk was replaced
}

// simHost is a host with its disk. node is nil while the host is down.
type simHost struct {
	s    *sim
	name string
	id   string
	fs   *faultfs.FS
	log  *wal.WAL
	node *raft.Node
	// storedEntries mirrors the stored entries after base.
	storedEntries []raft.Entry
	base          raft.SnapshotMeta
	index         uint64 // applied
	state         uint64
	term          uint64                // highest term seen, which must never decrease
	config        raft.Configuration    // applied
	latest        raft.Configuration    // in the log
	pending       map[uint64]raft.Entry // proposed here, by index
}

type violation struct{ text string }

func (s *sim) require(ok bool, format string, args ...any) {
	if !ok {
		panic(violation{fmt.Sprintf("step %d: ", s.steps) + fmt.Sprintf(format, args...)})
	}
}

func must(err error) {
	if err != nil {
		panic(violation{err.Error()})
	}
}

func newSim(seed uint64, witness bool) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 2)), faultRate: []int{1, 4, 15}[seed%3], blocked: map[[2]string]bool{}, counts: map[string]int{},
		leaders: map[uint64]string{}, links: map[[2]uint64]string{}, applied: map[uint64]raft.Entry{},
		state: map[uint64]uint64{0: 0}, acked: map[string]bool{}, reads: map[uint64]uint64{}, replacedDisks: map[string]bool{},
	}
	for i, name := range []string{"a", "b", "c"} {
		s.initial.Members = append(s.initial.Members, raft.Member{
			ID: raft.MemberID(name, "1"), Host: name, Witness: witness && i == 2,
		})
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		h := &simHost{s: s, name: name, fs: faultfs.New()}
		s.hosts = append(s.hosts, h)
		h.start()
	}
	return s
}

// start opens the disk and starts the node. An initial host with an empty disk
// bootstraps again, as with a bootstrap setting that is still in place.
func (h *simHost) start() {
	log, state, err := wal.Open(wal.Options{FS: h.fs, Dir: "/d", SegmentBytes: 2048})
	must(err)
	identity, err := wal.LoadIdentity(h.fs, "/d")
	if err != nil {
		identity = wal.Identity{Group: "g", Host: h.name, Incarnation: "1"}
		if _, initial := h.s.initial.Find(identity.MemberID()); initial {
			state.Snapshot = raft.SnapshotMeta{Config: h.s.initial}
			must(log.SaveSnapshot(raft.Snapshot{Meta: state.Snapshot}))
		} else {
			h.s.incarnations++
			identity.Incarnation = fmt.Sprintf("n%d", h.s.incarnations)
		}
		must(wal.SaveIdentity(h.fs, "/d", identity))
	}
	h.log, h.id = log, identity.MemberID()
	h.base, h.storedEntries, h.index, h.state = state.Snapshot, slices.Clone(state.Entries), state.Snapshot.Index, 0
	h.config, h.pending = state.Snapshot.Config, map[uint64]raft.Entry{}
	if h.index > 0 {
		snap, err := log.LoadSnapshot()
		must(err)
		h.state = binary.LittleEndian.Uint64(snap.Data)
	}
	h.node, err = raft.New(raft.Options{
		Group: "g", ID: h.id, Seed: h.s.random.Uint64(), MaxInflight: 4, MaxBatchBytes: 100,
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
	})
	must(err)
	h.flush()
}

func (h *simHost) crash() {
	h.s.counts["crash"]++
	h.fs.Crash(h.s.random)
	h.node = nil
}

// flush processes the node's work until there is none, as package replica does.
// A disk failure crashes the host.
func (h *simHost) flush() {
	for h.node != nil {
		rd, ok := h.node.Ready()
		must(h.node.Err())
		if !ok {
			break
		}
		if !h.processReady(&rd) {
			h.crash()
			return
		}
		h.node.Advance(rd)
		h.check()
	}
	if h.node != nil && h.node.Status().LostDisk {
		h.s.counts["lost disk found"]++
		h.s.incarnations++
		identity := wal.Identity{Group: "g", Host: h.name, Incarnation: fmt.Sprintf("n%d", h.s.incarnations)}
		if wal.SaveIdentity(h.fs, "/d", identity) != nil {
			h.crash()
			return
		}
		h.start()
	}
}

// processReady stores, sends and applies the work in rd. It returns false if the
// disk failed.
func (h *simHost) processReady(rd *raft.Ready) bool {
	later := rd.Messages
	if rd.MaySendBeforeSync() {
		later = nil
		for _, m := range rd.Messages {
			if m.Type == raft.MsgAppend || m.Type == raft.MsgHeartbeat {
				h.send(m)
			} else {
				later = append(later, m)
			}
		}
	}
	if rd.Snapshot != nil {
		if h.log.InstallSnapshot(*rd.Snapshot) != nil {
			return false
		}
		h.s.counts["snapshot installed"]++
		h.base, h.storedEntries = rd.Snapshot.Meta, nil
		h.index, h.state, h.config = h.base.Index, binary.LittleEndian.Uint64(rd.Snapshot.Data), h.base.Config
		h.s.require(h.state == h.s.state[h.index], "%s restored another state at %d", h.id, h.index)
	}
	if rd.MustSync && h.log.Save(rd.HardState, rd.Entries) != nil {
		return false
	}
	h.store(rd.Entries)
	for _, m := range later {
		h.send(m)
	}
	for _, e := range rd.Committed {
		h.apply(e)
	}
	for _, r := range rd.Reads {
		h.s.require(r.Index >= h.s.reads[r.ID], "stale read at %s: %d after %d", h.id, r.Index, h.s.reads[r.ID])
		h.s.counts["read"]++
	}
	return h.snapshot()
}

// store updates storedEntries and checks the log matching property.
func (h *simHost) store(entries []raft.Entry) {
	for _, e := range entries {
		h.storedEntries = append(h.storedEntries[:e.Index-h.base.Index-1], e)
		previous := h.base.Term
		if n := len(h.storedEntries); n > 1 {
			previous = h.storedEntries[n-2].Term
		}
		link := fmt.Sprintf("%d %d %x", previous, e.Type, e.Data)
		key := [2]uint64{e.Index, e.Term}
		known, ok := h.s.links[key]
		h.s.require(!ok || known == link, "log matching at %v of %s", key, h.id)
		h.s.links[key] = link
	}
}

// apply checks state machine safety and records proposals of this host as
// acknowledged.
func (h *simHost) apply(e raft.Entry) {
	s := h.s
	s.require(e.Index == h.index+1, "%s applies %d after %d", h.id, e.Index, h.index)
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %d %d %x", h.state, e.Term, e.Type, e.Data)
	h.index, h.state = e.Index, hash.Sum64()
	if known, ok := s.applied[e.Index]; ok {
		s.require(known.Term == e.Term && s.state[e.Index] == h.state, "%s applies another entry at %d", h.id, e.Index)
	}
	s.applied[e.Index], s.state[e.Index] = e, h.state
	s.highestCommitted = max(s.highestCommitted, e.Index)
	if e.Type == raft.EntryConfig {
		c, err := raft.DecodeConfiguration(e.Data)
		must(err)
		h.config = c
		s.counts["config"]++
	}
	if p, ok := h.pending[e.Index]; ok && p.Term == e.Term {
		s.require(string(p.Data) == string(e.Data), "another entry acknowledged at %d", e.Index)
		s.acked[string(e.Data)] = true
	}
}

// snapshot stores a snapshot every 20 entries. It returns false if the disk failed.
func (h *simHost) snapshot() bool {
	if h.index < h.base.Index+20 {
		return true
	}
	// Padding makes some snapshots larger than one chunk.
	size := 8
	if h.s.random.IntN(4) == 0 {
		size = raft.SnapshotChunkBytes + 100
	}
	data := binary.LittleEndian.AppendUint64(make([]byte, 0, size), h.state)[:size]
	meta := raft.SnapshotMeta{Index: h.index, Term: h.s.applied[h.index].Term, Config: h.config, Size: uint64(size)}
	if h.log.SaveSnapshot(raft.Snapshot{Meta: meta, Data: data}) != nil {
		return false
	}
	h.node.Compact(meta, raft.Retention{Entries: 5, Bytes: 1000})
	must(h.log.RemoveSegmentsUpTo(meta.Index))
	h.storedEntries = slices.Clone(h.storedEntries[meta.Index-h.base.Index:])
	h.base = meta
	return true
}

func (h *simHost) send(m raft.Message) {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	h.s.require(size <= 100 || len(m.Entries) == 1, "append of %d bytes", size)
	if m.Snapshot != nil {
		chunk, err := h.log.ReadChunk(*m.Snapshot, m.Offset)
		if err != nil {
			return
		}
		m.Chunk = chunk
	}
	data, err := raft.EncodeMessages([]raft.Message{m})
	must(err)
	decoded, err := raft.DecodeMessages(data)
	must(err)
	h.s.network = append(h.s.network, decoded...)
}

// check verifies election safety, leader completeness and that the term does
// not decrease.
func (h *simHost) check() {
	st := h.node.Status()
	h.s.require(st.Term >= h.term, "term of %s decreased", h.id)
	h.term, h.latest = st.Term, st.Config
	if st.Role != raft.Leader {
		return
	}
	leader, ok := h.s.leaders[st.Term]
	h.s.require(!ok || leader == h.id, "two leaders in term %d: %s and %s", st.Term, leader, h.id)
	if ok {
		return
	}
	h.s.leaders[st.Term] = h.id
	h.s.counts["leader"]++
	for i := h.base.Index + 1; i <= h.s.highestCommitted; i++ {
		at := int(i - h.base.Index - 1)
		h.s.require(at < len(h.storedEntries) && h.storedEntries[at].Term == h.s.applied[i].Term,
			"leader %s of term %d lacks committed entry %d", h.id, st.Term, i)
	}
}

func (s *sim) host(name string) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
	return s.hosts[i]
}

// deliver delivers the message at position i, and removes it unless keep is set.
func (s *sim) deliver(i int, keep bool) {
	m := s.network[i]
	if !keep {
		s.network[i] = s.network[len(s.network)-1]
		s.network = s.network[:len(s.network)-1]
	}
	from, to := raft.HostOf(m.From), raft.HostOf(m.To)
	if h := s.host(to); h.node != nil && !s.blocked[[2]string{from, to}] {
		h.node.Step(m)
		h.flush()
	}
}

func (s *sim) randomHost() *simHost { return s.hosts[s.random.IntN(len(s.hosts))] }

// step performs one random action.
func (s *sim) step() {
	s.steps++
	h := s.randomHost()
	switch p := s.random.IntN(1000); {
	case p < s.faultRate:
		s.injectFault(h)
	case p < 2*s.faultRate:
		s.partition()
	case p < 2*s.faultRate+20:
		s.changeMembers(h)
	case p < 120:
		s.proposeOrRead(h)
	case p < 250:
		if h.node != nil {
			h.node.Tick()
			h.flush()
		}
	case len(s.network) > 0:
		s.randomDelivery()
	}
}

// randomDelivery delivers, duplicates or drops a message. It mostly keeps the
// order, so that the group makes progress.
func (s *sim) randomDelivery() {
	i := 0
	if s.random.IntN(4) == 0 {
		i = s.random.IntN(len(s.network))
	}
	switch s.random.IntN(20) {
	case 0:
		s.network = slices.Delete(s.network, i, i+1)
	case 1:
		s.deliver(i, true)
	default:
		s.deliver(i, false)
	}
	if len(s.network) > 300 {
		s.network = s.network[200:]
	}
}

// proposeOrRead proposes entries or starts a read on a host, which may or may
// not lead.
func (s *sim) proposeOrRead(h *simHost) {
	if h.node == nil {
		return
	}
	s.nextID++
	if s.random.IntN(4) == 0 {
		s.reads[s.nextID] = s.highestCommitted
		_ = h.node.ReadIndex(s.nextID)
		h.flush()
		return
	}
	for range 1 + s.random.IntN(5) {
		s.nextID++
		data := []byte(fmt.Sprintf("p%d", s.nextID))
		if index, term, err := h.node.Propose(data); err == nil {
			h.pending[index] = raft.Entry{Index: index, Term: term, Data: data}
		}
	}
	h.flush()
}

func (s *sim) partition() {
	if s.random.IntN(2) == 0 {
		clear(s.blocked)
		return
	}
	a, b := s.randomHost().name, s.randomHost().name
	s.blocked[[2]string{a, b}] = true
	if s.random.IntN(3) > 0 {
		s.blocked[[2]string{b, a}] = true
	}
}

// injectFault crashes a host, at once or at one of its next disk operations, starts
// it again, or replaces its disk.
func (s *sim) injectFault(h *simHost) {
	switch {
	case h.node == nil:
		h.start()
	case s.random.IntN(3) == 0:
		h.crash()
	case s.random.IntN(8) == 0 && s.mayLoseDisk(h):
		s.counts["wiped"]++
		s.replacedDisks[h.id] = true
		h.fs.Wipe()
		h.term = 0
		h.start()
	default:
		h.fs.FailAfter([]faultfs.Op{faultfs.OpWrite, faultfs.OpSync, faultfs.OpRename}[s.random.IntN(3)], s.random.IntN(6))
	}
}

// mayLoseDisk reports whether every configuration known to a node keeps a
// quorum of voters with intact disks if the disk of h is lost.
func (s *sim) mayLoseDisk(h *simHost) bool {
	for _, o := range s.hosts {
		if !s.keepsQuorum(o.latest, h.id) {
			return false
		}
	}
	return true
}

// keepsQuorum reports whether, without the member except, a quorum of the
// voters in c has intact disks and one of them can lead, also if a learner is
// promoted at the same time.
func (s *sim) keepsQuorum(c raft.Configuration, except string) bool {
	voters, left, learners := 0, 0, 0
	electable := false
	for _, m := range c.Members {
		switch intact := m.ID != except && !s.replacedDisks[m.ID]; {
		case m.Learner && !intact:
			learners++
		case !m.Learner:
			voters++
			if intact {
				left++
				electable = electable || !m.Witness
			}
		}
	}
	return voters == 0 || (electable && left >= (voters+learners)/2+1)
}

// changeMembers adds or removes a member, or transfers the leadership.
func (s *sim) changeMembers(h *simHost) {
	if h.node == nil || h.node.Status().Role != raft.Leader {
		return
	}
	other := s.randomHost()
	config := h.node.Status().Config
	var err error
	_, member := config.Find(other.id)
	switch {
	case s.random.IntN(6) == 0:
		_, err = h.node.TransferLeadership()
	case !member && len(config.Members) < 5:
		_, _, err = h.node.ProposeAdd(raft.Member{ID: other.id, Host: other.name, Witness: s.random.IntN(5) == 0})
	case len(config.Members) > 3 || !s.allDisksIntact(config):
		gone := config.Members[s.random.IntN(len(config.Members))].ID
		rest := raft.Configuration{}
		for _, m := range config.Members {
			if m.ID != gone {
				rest.Members = append(rest.Members, m)
			}
		}
		if s.keepsQuorum(rest, "") { // an operator keeps a quorum of intact disks
			_, _, err = h.node.ProposeRemove(gone)
		}
	}
	if err != nil {
		s.counts["change refused"]++
	}
	h.flush()
}

// allDisksIntact reports whether no member's disk was replaced.
func (s *sim) allDisksIntact(c raft.Configuration) bool {
	for _, m := range c.Members {
		if s.replacedDisks[m.ID] {
			return false
		}
	}
	return true
}

// heal ends all faults and reports whether the group then commits a new entry
// and every member that has a leader applies it.
func (s *sim) heal() bool {
	clear(s.blocked)
	for _, h := range s.hosts {
		if h.node == nil {
			h.start()
		}
		h.fs.FailAfter(faultfs.OpWrite, 1<<30)
		h.fs.FailAfter(faultfs.OpSync, 1<<30)
		h.fs.FailAfter(faultfs.OpRename, 1<<30)
	}
	mark := ""
	for round := range 3000 {
		for _, h := range s.hosts {
			h.node.Tick()
			h.flush()
			if st := h.node.Status(); st.Role == raft.Leader && round%50 == 0 {
				s.nextID++
				data := fmt.Sprintf("end%d", s.nextID)
				if index, term, err := h.node.Propose([]byte(data)); err == nil {
					h.pending[index] = raft.Entry{Index: index, Term: term, Data: []byte(data)}
					mark = data
				}
				h.flush()
			}
		}
		for n := 0; len(s.network) > 0 && n < 2000; n++ {
			s.steps++
			s.deliver(0, false)
		}
		if s.acked[mark] && s.converged() {
			return true
		}
	}
	return false
}

func (s *sim) converged() bool {
	for _, h := range s.hosts {
		if _, member := h.node.Status().Config.Find(h.id); member && h.node.Status().Leader != "" && h.index < s.highestCommitted {
			return false
		}
	}
	return true
}

// lostAcknowledged returns an acknowledged proposal that was never applied, or
// "" if there is none.
func (s *sim) lostAcknowledged() string {
	found := map[string]bool{}
	for i := uint64(1); i <= s.highestCommitted; i++ {
		found[string(s.applied[i].Data)] = true
	}
	for data := range s.acked {
		if !found[data] {
			return data
		}
	}
	return ""
}

// describe returns the state of every host for failure messages.
func (s *sim) describe() string {
	text := ""
	for _, h := range s.hosts {
		if h.node != nil {
			text += fmt.Sprintf("\n%s base %d applied %d: %+v", h.id, h.base.Index, h.index, h.node.Status())
		}
	}
	return text
}
