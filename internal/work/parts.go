package work

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/fault"
)

// MaxUploads bounds the incomplete long commands. An operator has up to eight changes
// in progress.
const MaxUploads = 8

// uploads holds the incomplete long commands of one leader. They are dropped when a
// later leader starts one.
type uploads struct {
	Term uint64            `cbor:"1,keyasint,omitempty"`
	Data map[uint64][]byte `cbor:"2,keyasint,omitempty"`
}

// add adds a part and returns the whole command with its last part. It returns
// *fault.Precondition if earlier parts are missing.
func (u *uploads) add(term uint64, p *Part) ([]byte, error) {
	if u.Term != term {
		u.Term, u.Data = term, nil
	}
	if u.Data == nil {
		u.Data = map[uint64][]byte{}
	}
	data := u.Data[p.Upload]
	if p.Offset != len(data) || p.Offset+len(p.Data) > p.TotalBytes {
		return nil, &fault.Precondition{What: "part of a command", Reason: "the parts before it are missing"}
	}
	if p.Offset == 0 {
		u.dropOldest()
		data = make([]byte, 0, len(p.Data))
	}
	data = append(data, p.Data...)
	if len(data) == p.TotalBytes {
		delete(u.Data, p.Upload)
		return data, nil
	}
	u.Data[p.Upload] = data
	return nil, nil
}

// dropOldest makes room for one more upload. The proposer of the oldest one has given
// it up if so many newer ones were started.
func (u *uploads) dropOldest() {
	if len(u.Data) < MaxUploads {
		return
	}
	var numbers []uint64
	for n := range u.Data {
		numbers = append(numbers, n)
	}
	delete(u.Data, slices.Min(numbers))
}
