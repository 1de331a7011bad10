package work

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/fault"
)

// MaxUploads bounds the long commands that are incomplete at a time. An
// operator has up to eight changes in progress.
const MaxUploads = 8

// uploads holds incomplete commands of one leader. A later leader continues
// none of them.
type uploads struct {
	Term uint64            `cbor:"1,keyasint,omitempty"`
	Data map[uint64][]byte `cbor:"2,keyasint,omitempty"`
}

// add takes a part of the log's next entry. It returns the whole command with
// its last part. Errors: *fault.Precondition for a part without those before it.
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

// dropOldest makes room for one more upload. Its caller has given up one that
// was overtaken by so many others.
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
