package wal

import (
	"errors"
	"fmt"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
)

// replayer rebuilds the log from its records, which it reads in order.
type replayer struct {
	hard    raft.HardState
	entries []raft.Entry
	// base is the index before the first entry, valid once baseKnown is set.
	// baseFromReset is set if it comes from a reset record, so that a snapshot
	// covers the entries up to it.
	base          uint64
	baseKnown     bool
	baseFromReset bool
	// maxIndex is the highest index seen so far. It never decreases, so that no
	// segment counts as removable while an earlier one is still needed.
	maxIndex uint64
}

// segment replays one segment. It returns a torn tail if the segment ends in
// one, and *fault.Corrupt for other damage. If the header itself is torn, the
// offset of the tail is 0.
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
			return &fault.Corrupt{Reason: "segment header does not match the file name or format version"}
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
	return &fault.Corrupt{Reason: "unexpected record type in a log segment"}
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
				return &fault.Corrupt{Reason: fmt.Sprintf("entry %d replaces an entry that the snapshot covers", e.Index)}
			}
			// The first remaining segment can begin with entries that a later
			// leader replaced, together with entries in segments since removed.
			p.base, p.entries = e.Index-1, nil
		}
		p.entries = append(p.entries[:e.Index-p.base-1], e)
		p.maxIndex = max(p.maxIndex, e.Index)
	}
	return nil
}

// resolve sets state.Entries to the entries after the snapshot. It reports
// whether the entries are to be discarded because they do not lead up to the
// snapshot. This happens when a crash came after a received snapshot had been
// stored, but before its reset record was written.
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
