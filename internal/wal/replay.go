package wal

import (
	"errors"
	"fmt"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
)

// replayer rebuilds the log from the records in their order.
type replayer struct {
	hard    raft.HardState
	entries []raft.Entry
	// base is the index before the first entry, known once based is set. It
	// is exact after a reset, which a snapshot covers.
	base          uint64
	baseKnown     bool
	baseFromReset bool
	// maxIndex is the highest index seen so far. It only grows, so that a
	// segment is not released while an earlier one is still needed.
	maxIndex uint64
}

// segment reads one segment. It returns a torn tail if the segment ends in
// one, and *fault.Corrupt for other damage.
func (p *replayer) segment(name string, sequence uint64, data []byte) (*tornTail, error) {
	r := reader{name: name, data: data}
	for first := true; ; first = false {
		kind, payload, err := r.next()
		var torn *tornTail
		if errors.As(err, &torn) {
			if first {
				torn.offset = 0
			}
			return torn, nil
		}
		if err != nil || kind == 0 {
			return nil, err
		}
		if first != (kind == recordSegment) {
			return nil, r.corrupt("segment header out of place")
		}
		if err := p.applyRecord(kind, payload, sequence); err != nil {
			var corrupt *fault.Corrupt
			if errors.As(err, &corrupt) {
				err = r.corrupt(corrupt.Reason)
			}
			return nil, err
		}
	}
}

func (p *replayer) applyRecord(kind recordType, payload []byte, sequence uint64) error {
	switch kind {
	case recordSegment:
		var h segmentHeader
		if err := codec.Unmarshal(payload, &h); err != nil {
			return err
		}
		if h.Version != formatVersion || h.Sequence != sequence {
			return &fault.Corrupt{Reason: "segment header does not match its file"}
		}
		p.hard = h.HardState
		return nil
	case recordReset:
		var s resetRecord
		if err := codec.Unmarshal(payload, &s); err != nil {
			return err
		}
		p.base, p.baseKnown, p.baseFromReset, p.entries = s.Index, true, true, nil
		p.maxIndex = max(p.maxIndex, s.Index)
		return nil
	case recordSave:
		var s saveRecord
		if err := codec.Unmarshal(payload, &s); err != nil {
			return err
		}
		if s.HardState != nil {
			p.hard = *s.HardState
		}
		return p.append(s.Entries)
	}
	return &fault.Corrupt{Reason: "record of another kind of file"}
}

func (p *replayer) append(entries []raft.Entry) error {
	for i, e := range entries {
		if e.Index == 0 || (i > 0 && e.Index != entries[i-1].Index+1) {
			return &fault.Corrupt{Reason: "entries are not consecutive"}
		}
		if !p.baseKnown {
			p.base, p.baseKnown = e.Index-1, true
		}
		if e.Index > p.base+uint64(len(p.entries))+1 {
			return &fault.Corrupt{Reason: fmt.Sprintf("entries before index %d are missing", e.Index)}
		}
		if e.Index <= p.base {
			if p.baseFromReset {
				return &fault.Corrupt{Reason: fmt.Sprintf("entry %d replaces one in the snapshot", e.Index)}
			}
			// The first stored segment can begin with entries that a later
			// leader replaced, along with entries in removed segments.
			p.base, p.entries = e.Index-1, nil
		}
		p.entries = append(p.entries[:e.Index-p.base-1], e)
		p.maxIndex = max(p.maxIndex, e.Index)
	}
	return nil
}

// resolve reduces the entries to those after the snapshot. It reports whether
// the entries were discarded because the snapshot is not part of their log: a
// crash came between the storing of a received snapshot and of its reset.
func (p *replayer) resolve(state *State) (discarded bool, err error) {
	s := state.Snapshot
	last := p.base + uint64(len(p.entries))
	switch {
	case !p.baseKnown || (last == s.Index && len(p.entries) == 0):
		return false, nil
	case p.base > s.Index:
		return false, &fault.Corrupt{
			What:   "log",
			Reason: fmt.Sprintf("entries from %d to %d are missing", s.Index+1, p.base),
		}
	case last < s.Index:
		return true, nil
	case s.Index > p.base && p.entries[s.Index-p.base-1].Term != s.Term:
		return true, nil
	}
	state.Entries = append([]raft.Entry(nil), p.entries[s.Index-p.base:]...)
	return false, nil
}
