package raft

import "sort"

// entryOverheadBytes is the estimated encoded size of an entry without its data.
const entryOverheadBytes = 32

// indexedConfig is a configuration and the index of the entry that set it.
type indexedConfig struct {
	index  uint64
	config Configuration
}

// raftLog holds the entries after the compaction point and the configurations
// that they set. Invariant: baseIndex <= committed <= last, stable <= last.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry // entries[i].Index == baseIndex+1+i
	// stable is the last index known to be durable on this replica.
	stable    uint64
	committed uint64
	// delivered is the index of the last committed entry returned by Ready.
	delivered uint64
	// configs is ordered by index and never empty. A configuration takes effect
	// when its entry is appended and is undone when the entry is truncated.
	configs []indexedConfig
}

func (l *raftLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the entry is
// compacted or not yet appended.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entriesFrom returns the entries from index on, limited to maxBytes in total
// but at least one entry if there is any.
func (l *raftLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.baseIndex || index > l.last() {
		return nil
	}
	from := l.entries[index-l.baseIndex-1:]
	size := 0
	for i := range from {
		size += len(from[i].Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return from[:i:i]
		}
	}
	return from[:len(from):len(from)]
}

// entriesBetween returns the entries in (low, high].
func (l *raftLog) entriesBetween(low, high uint64) []Entry {
	if low >= high || low < l.baseIndex {
		return nil
	}
	return l.entries[low-l.baseIndex : high-l.baseIndex : high-l.baseIndex]
}

// append adds consecutive entries. It truncates the log first if it already
// holds an entry at the first index.
func (l *raftLog) append(entries ...Entry) error {
	if len(entries) == 0 {
		return nil
	}
	l.truncate(entries[0].Index)
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Type != EntryConfig {
			continue
		}
		c, err := DecodeConfiguration(e.Data)
		if err != nil {
			return err
		}
		l.configs = append(l.configs, indexedConfig{index: e.Index, config: c})
	}
	return nil
}

// truncate removes the entries from index on and undoes their configurations.
func (l *raftLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	keep := index - l.baseIndex - 1
	// The capacity is limited so that later appends do not overwrite slices
	// that were returned earlier.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// merge appends the entries from the first one that the log does not hold.
// Matching entries are kept, so that a delayed message never removes entries
// after those that it carries.
func (l *raftLog) merge(entries []Entry) error {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return l.append(entries[i:]...)
		}
	}
	return nil
}

// conflictHint returns the index and term of the last entry up to index whose
// term is at most term, so that the leader skips a whole term of conflicting
// entries in one round trip.
func (l *raftLog) conflictHint(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for ; index > l.baseIndex; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return l.baseIndex, l.baseTerm
}

func (l *raftLog) commitTo(index uint64) { l.committed = max(l.committed, min(index, l.last())) }

func (l *raftLog) config() Configuration { return l.configs[len(l.configs)-1].config }

func (l *raftLog) configIndex() uint64 { return l.configs[len(l.configs)-1].index }

// configAt returns the configuration in effect at index.
func (l *raftLog) configAt(index uint64) Configuration {
	i := sort.Search(len(l.configs), func(i int) bool { return l.configs[i].index > index })
	return l.configs[max(i-1, 0)].config
}

// compact discards the entries up to index. It does nothing if some of them are
// not yet delivered.
func (l *raftLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.delivered {
		return
	}
	l.baseTerm, _ = l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
}

// reset replaces the whole log with a snapshot.
func (l *raftLog) reset(s SnapshotMeta) {
	*l = raftLog{
		baseIndex: s.Index, baseTerm: s.Term, stable: s.Index, committed: s.Index, delivered: s.Index,
		configs: []indexedConfig{{index: s.Index, config: s.Config}},
	}
}

// moreUpToDate reports whether the last entry (index, term) of another log is
// strictly more up to date than that of this log.
func (l *raftLog) moreUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index > l.last())
}

// atLeastUpToDate reports whether the last entry (index, term) of another log
// is at least as up to date as that of this log.
func (l *raftLog) atLeastUpToDate(index, term uint64) bool {
	return l.moreUpToDate(index, term) || (term == l.lastTerm() && index == l.last())
}
