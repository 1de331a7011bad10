package region

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

// answer is the stored answer to the first request with a request id. At most
// one error is set.
type answer struct {
	RequestID    string                  `cbor:"1,keyasint"`
	Digest       string                  `cbor:"2,keyasint"`
	Index        uint64                  `cbor:"3,keyasint"`
	Revision     uint64                  `cbor:"4,keyasint"`
	Conflict     *fault.RevisionConflict `cbor:"5,keyasint,omitempty"`
	Invalid      *fault.Invalid          `cbor:"6,keyasint,omitempty"`
	Precondition *fault.Precondition     `cbor:"7,keyasint,omitempty"`
	NotFound     *fault.NotFound         `cbor:"8,keyasint,omitempty"`
	Limit        *fault.LimitExceeded    `cbor:"9,keyasint,omitempty"`
}

func newAnswer(id, digest string, index uint64, r Result) answer {
	a := answer{RequestID: id, Digest: digest, Index: index, Revision: r.Revision}
	if r.Err == nil {
		return a
	}
	known := errors.As(r.Err, &a.Conflict) || errors.As(r.Err, &a.Invalid) || errors.As(r.Err, &a.Precondition) ||
		errors.As(r.Err, &a.NotFound) || errors.As(r.Err, &a.Limit)
	if !known {
		a.Invalid = &fault.Invalid{Field: "records", Reason: r.Err.Error()}
	}
	return a
}

func (a answer) result() Result {
	r := Result{Revision: a.Revision}
	switch {
	case a.Conflict != nil:
		r.Err = a.Conflict
	case a.Invalid != nil:
		r.Err = a.Invalid
	case a.Precondition != nil:
		r.Err = a.Precondition
	case a.NotFound != nil:
		r.Err = a.NotFound
	case a.Limit != nil:
		r.Err = a.Limit
	}
	return r
}

// answers holds the stored answers in the order of their log index.
type answers struct {
	list []answer
	byID map[string]answer
}

func newAnswers() answers { return answers{byID: make(map[string]answer)} }

func (s *answers) get(id string) (answer, bool) {
	a, ok := s.byID[id]
	return a, ok
}

func (s *answers) put(a answer) {
	s.list = append(s.list, a)
	s.byID[a.RequestID] = a
	if len(s.list) > MaxAnswers {
		s.drop(1)
	}
}

// expire drops the answers that are at least AnswerRetentionEntries older than
// index.
func (s *answers) expire(index uint64) {
	n := 0
	for n < len(s.list) && s.list[n].Index+AnswerRetentionEntries <= index {
		n++
	}
	s.drop(n)
}

func (s *answers) drop(n int) {
	for _, a := range s.list[:n] {
		delete(s.byID, a.RequestID)
	}
	s.list = s.list[n:]
}

// digestOf returns a digest of a request's records, by which a reused request
// id with other records is told from a repeated request.
func digestOf(records []model.Record) string {
	data, err := codec.Marshal(records)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
