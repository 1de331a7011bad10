package ledger

import (
	"sort"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

// snapshotVersion is the version of the snapshot's format. Version 1 has no
// retained keys; it is still read.
const snapshotVersion = 2

type snapshot struct {
	Version  int              `cbor:"1,keyasint"`
	Seq      uint64           `cbor:"2,keyasint"`
	Requests []snapshotRecord `cbor:"3,keyasint"` // in claim order
	Hosts    []snapshotHost   `cbor:"4,keyasint"` // by name
	Limits   Limits           `cbor:"5,keyasint"`
	// Keys are the retained keys as keyTable.encode returns them.
	Keys []byte `cbor:"6,keyasint,omitempty"`
}

type snapshotRecord struct {
	Seq     uint64         `cbor:"1,keyasint"`
	Request *model.Request `cbor:"2,keyasint"`
}

// snapshotHost holds the current incarnation of a host, since the attempts alone
// do not show which incarnation is the latest.
type snapshotHost struct {
	Name    string `cbor:"1,keyasint"`
	Current string `cbor:"2,keyasint"`
}

// Snapshot encodes the ledger. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Version: snapshotVersion, Seq: s.seq, Limits: s.limits, Keys: s.keys.encode()}
	for e := s.claimOrder.Front(); e != nil; e = e.Next() {
		rec := e.Value.(*record)
		snap.Requests = append(snap.Requests, snapshotRecord{Seq: rec.seq, Request: rec.req})
	}
	for name, h := range s.hosts {
		snap.Hosts = append(snap.Hosts, snapshotHost{Name: name, Current: h.currentIncarnation})
	}
	sort.Slice(snap.Hosts, func(i, j int) bool { return snap.Hosts[i].Name < snap.Hosts[j].Name })
	return codec.Marshal(&snap)
}

// Restore replaces the ledger by a snapshot. If the snapshot is not valid, it
// returns *fault.Corrupt and keeps the current state.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.UnmarshalStrict(data, &snap); err != nil {
		return err
	}
	if snap.Version < 1 || snap.Version > snapshotVersion {
		return &fault.Corrupt{What: "ledger snapshot", Reason: "unknown version"}
	}
	for i, r := range snap.Requests {
		if r.Request == nil || r.Seq > snap.Seq || (i > 0 && r.Seq <= snap.Requests[i-1].Seq) {
			return &fault.Corrupt{What: "ledger snapshot", Reason: "requests are not in claim order"}
		}
		if _, err := newRetainedKey(r.Request); err != nil {
			return err
		}
	}
	keys, err := decodeKeys(snap.Keys)
	if err != nil {
		return err
	}
	for _, r := range snap.Requests {
		if _, ok := keys.get(r.Request.Key); ok {
			return &fault.Corrupt{What: "ledger snapshot", Reason: "a retained key is also a request"}
		}
	}
	s.clear()
	s.seq, s.limits, s.keys = snap.Seq, snap.Limits, keys
	for _, r := range snap.Requests {
		s.insert(&record{seq: r.Seq, req: r.Request})
	}
	for _, h := range snap.Hosts {
		s.setCurrentIncarnation(h.Name, h.Current)
	}
	return nil
}
