package inventory

import (
	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/model"
)

// snapshot is the stored form of a State. Hosts and waves are ordered by name.
type snapshot struct {
	Hosts []model.Host         `cbor:"1,keyasint"`
	Waves []model.WaveProgress `cbor:"2,keyasint"`
}

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Marshal(snapshot{s.Hosts(), s.Waves()})
}

// Restore replaces the state by an encoded one. On *fault.Corrupt the state is
// left as it was.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.UnmarshalStrict(data, &snap); err != nil {
		return err
	}
	restored := New()
	for _, h := range snap.Hosts {
		restored.hosts[h.Info.Name] = &h
	}
	for _, p := range snap.Waves {
		restored.waves[p.Wave] = &p
	}
	*s = *restored
	return nil
}
