// Package customer holds what a region knows of the customers whose callers compete for
// its hosts: the keys that identify them, and how many jobs a second they are owed. It
// does no I/O and reads no clock.
package customer

import (
	"crypto/sha256"
	"encoding/hex"

	"agatehaven.dev/agatehaven/internal/fault"
)

// KeyDigest identifies an API key without holding it: the hexadecimal SHA-256 of the
// key. A lookup by digest takes no time that depends on how much of a guessed key is right.
type KeyDigest string

// Digest returns the digest of a key, "" for the empty key.
func Digest(key string) KeyDigest {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// Allowance measures how many jobs a customer has handed in against the rate that it is
// owed. It is a token bucket that holds the jobs of one second: a customer that was idle
// has its rate at once, and no more than that for its past.
type Allowance struct {
	// Taken is the number of jobs that count against the bucket at AtMS, in Unix ms.
	Taken float64 `cbor:"1,keyasint,omitempty"`
	AtMS  int64   `cbor:"2,keyasint,omitempty"`
}

// Take counts a job at a time in Unix ms, and reports whether the customer is owed it at
// a rate in jobs per second. A job beyond the rate is not counted.
func (a *Allowance) Take(perSecond float64, nowMS int64) bool {
	// A rate below one job a second still owes single jobs.
	size := max(1, perSecond)
	a.Taken = min(a.Taken, size) // the rate may have been lowered since
	if nowMS > a.AtMS {
		a.Taken = max(0, a.Taken-perSecond*float64(nowMS-a.AtMS)/1000)
		a.AtMS = nowMS
	}
	if a.Taken+1 > size {
		return false
	}
	a.Taken++
	return true
}

// NeverFits reports a job of which a part alone exceeds its customer's limit, so that it
// could never run.
type NeverFits struct{ Customer, What string }

func (e *NeverFits) Error() string {
	return e.What + " exceeds the limit of customer " + e.Customer
}

// Code implements fault.Coded.
func (e *NeverFits) Code() fault.Code { return fault.CodeLimitExceeded }
