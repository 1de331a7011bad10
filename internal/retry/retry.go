// Package retry limits the retries of idempotent work. There are three
// interchangeable policies: a fixed limit per request, a token bucket per
// instance (entry host), and a token bucket shared by all instances of a data
// centre.
//
// The token bucket follows "Knowing when to stop retrying": each retry spends
// tokens and only a success refills them, so that retries help when failures are
// rare and cease when everything fails. A fixed limit multiplies the load by
// that limit exactly when targets fail.
//
// Policies are soft state of the leader and not safe for concurrent use.
package retry

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Attempt is an attempt that failed or was lost.
type Attempt struct {
	Key string
	// Used is the number of attempts that count towards MaxAttempts.
	Used        int
	MaxAttempts int
	// Instance is the entry host that owned the attempt.
	Instance string
}

// Decision is the decision about a retry.
type Decision struct {
	Retry  bool
	Reason string
}

// Policy decides about retries.
type Policy interface {
	// Decide decides whether another attempt is allowed, and spends its tokens.
	Decide(a Attempt) Decision
	// Succeeded refills tokens after a successful attempt of the instance.
	Succeeded(instance string)
}

func exhausted(a Attempt) (Decision, bool) {
	limit := max(a.MaxAttempts, 1)
	if a.Used < limit {
		return Decision{}, false
	}
	return Decision{Reason: fmt.Sprintf("all %d attempts are used", limit)}, true
}

// Fixed allows every attempt below the request's own limit.
type Fixed struct{}

// Decide implements Policy.
func (Fixed) Decide(a Attempt) Decision {
	if v, ok := exhausted(a); ok {
		return v
	}
	return Decision{Retry: true, Reason: fmt.Sprintf("attempt %d of %d", a.Used+1, a.MaxAttempts)}
}

// Succeeded implements Policy.
func (Fixed) Succeeded(string) {}

// TokenBucketSettings are the settings of a token bucket.
type TokenBucketSettings struct {
	// Capacity is the number of tokens of a full bucket, the initial state.
	Capacity float64
	// Cost is spent by each retry.
	Cost float64
	// Refill is added by each success. Refill/Cost bounds the retries per
	// success in the long run.
	Refill float64
}

// DefaultTokenBucket allows bursts of 100 retries, and one retry per five
// successes in the long run, which sustains failure rates up to a sixth.
func DefaultTokenBucket() TokenBucketSettings {
	return TokenBucketSettings{Capacity: 100, Cost: 1, Refill: 0.2}
}

type bucket struct {
	settings TokenBucketSettings
	tokens   float64
}

func (p *bucket) decide(a Attempt, name string) Decision {
	if v, ok := exhausted(a); ok {
		return v
	}
	if p.tokens < p.settings.Cost {
		return Decision{Reason: fmt.Sprintf("%s has %.1f retry tokens, %.1f are needed", name, p.tokens, p.settings.Cost)}
	}
	p.tokens -= p.settings.Cost
	return Decision{Retry: true, Reason: fmt.Sprintf("attempt %d of %d, %.1f retry tokens left", a.Used+1, a.MaxAttempts, p.tokens)}
}

func (p *bucket) succeeded() { p.tokens = min(p.tokens+p.settings.Refill, p.settings.Capacity) }

// Shared is one token bucket for a data centre.
type Shared struct{ bucket bucket }

// NewShared returns a policy with a full bucket.
func NewShared(t TokenBucketSettings) *Shared {
	return &Shared{bucket{settings: t, tokens: t.Capacity}}
}

// Decide implements Policy.
func (s *Shared) Decide(a Attempt) Decision { return s.bucket.decide(a, "the data centre") }

// Succeeded implements Policy.
func (s *Shared) Succeeded(string) { s.bucket.succeeded() }

// maxInstances bounds the buckets of PerInstance. Instances beyond it share the
// bucket of the empty name.
const maxInstances = 1024

// PerInstance is one token bucket for each instance.
type PerInstance struct {
	settings TokenBucketSettings
	buckets  map[string]*bucket
}

// NewPerInstance returns a policy whose buckets are full at their first use.
func NewPerInstance(t TokenBucketSettings) *PerInstance {
	return &PerInstance{settings: t, buckets: map[string]*bucket{}}
}

func (p *PerInstance) bucket(instance string) *bucket {
	if p.buckets[instance] == nil {
		if len(p.buckets) >= maxInstances {
			instance = ""
		}
		if p.buckets[instance] == nil {
			p.buckets[instance] = &bucket{settings: p.settings, tokens: p.settings.Capacity}
		}
	}
	return p.buckets[instance]
}

// Decide implements Policy.
func (p *PerInstance) Decide(a Attempt) Decision {
	return p.bucket(a.Instance).decide(a, "instance "+a.Instance)
}

// Succeeded implements Policy.
func (p *PerInstance) Succeeded(instance string) { p.bucket(instance).succeeded() }

// Backoff computes the delay before a retry: exponential, with jitter that
// depends only on seed, key and attempt, so that a new leader computes the
// same delay.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	// Jitter is the greatest fraction, 0 to 1, by which a delay is shortened at
	// random.
	Jitter float64
	Seed   uint64
}

// DefaultBackoff starts at 100 ms and ends at 10 s. Up to half of the delay is
// subtracted at random, so that requests that failed together are not retried
// together.
func DefaultBackoff(seed uint64) Backoff {
	return Backoff{Base: 100 * time.Millisecond, Max: 10 * time.Second, Jitter: 0.5, Seed: seed}
}

// Delay returns the delay after the attempt with the given number, from 1.
func (b Backoff) Delay(key string, attempt int) time.Duration {
	d := b.Base
	for n := 1; n < attempt && d < b.Max; n++ {
		d *= 2
	}
	d = min(d, b.Max)
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	rng := rand.New(rand.NewPCG(b.Seed^uint64(attempt), h.Sum64()))
	return d - time.Duration(b.Jitter*rng.Float64()*float64(d))
}
