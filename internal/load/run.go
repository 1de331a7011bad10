package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/httpapi"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

const (
	// longPollWait is the longest wait of one call for an outcome; it exceeds
	// most run times.
	longPollWait = 10 * time.Second
	// resendDelay is the wait before a key without an outcome is sent again. A
	// new leader is elected within about a second.
	resendDelay = 500 * time.Millisecond
)

// Sender submits requests to entry hosts. *Client implements it.
type Sender interface {
	Entry(n int) string
	Ticket(ctx context.Context, entry string) (string, error)
	Send(ctx context.Context, entry, key string, body caller.Body) (caller.Response, int, error)
}

// Runner sends the requests of a plan at their scheduled times.
type Runner struct {
	Plan   Plan
	Sender Sender
	Clock  clock.Clock
	// Deadline is how long a request may stay queued.
	Deadline time.Duration
	// Limit is how long a caller waits for an outcome.
	Limit time.Duration
}

// Run sends all arrivals at their scheduled time, independent of the progress
// of earlier ones (open loop), and waits for their outcomes up to the limit.
func (r *Runner) Run(ctx context.Context) []Result {
	arrivals := Schedule(r.Plan)
	results := make([]Result, len(arrivals))
	prefix := fmt.Sprintf("load-%d-%d-", r.Plan.Seed, r.Clock.Now().UnixMilli())
	start := r.Clock.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !r.wait(ctx, start.Add(a.At).Sub(r.Clock.Now())) {
			results = results[:i]
			break
		}
		wg.Go(func() { results[i] = r.sendArrival(ctx, a, fmt.Sprintf("%s%d", prefix, i), start.Add(a.At), uint64(i)) })
	}
	wg.Wait()
	return results
}

// wait waits for d. It returns false if ctx ends first.
func (r *Runner) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendArrival sends one request, and the same key a second time through the
// next entry host if the arrival has a RepeatAfter of 0 or more.
func (r *Runner) sendArrival(ctx context.Context, a Arrival, key string, due time.Time, n uint64) Result {
	mix := r.Plan.Mix[a.Kind]
	out := Result{Key: key, Kind: a.Kind, Sent: due, Payload: payload(mix.RunTime, r.Plan.PayloadBytes, r.Plan.Seed, n)}
	if a.Ticket {
		ticket, err := r.Sender.Ticket(ctx, r.Sender.Entry(a.Entry))
		if err != nil {
			out.Outcome, out.Reason, out.Ended = OutcomeRefused, err.Error(), r.Clock.Now()
			return out
		}
		out.Key = ticket
	}
	body := caller.Body{
		Kind: mix.Kind.Name, Team: mix.Kind.Team, Payload: out.Payload,
		DeadlineMS: r.Deadline.Milliseconds(), WaitMS: min(longPollWait, r.Limit).Milliseconds(),
	}
	replies := make([]reply, 1, 2)
	var wg sync.WaitGroup
	if a.RepeatAfter >= 0 {
		replies = append(replies, reply{})
		wg.Go(func() {
			if r.wait(ctx, a.RepeatAfter) {
				replies[1] = r.call(ctx, a.Entry+1, out.Key, body)
			}
		})
	}
	replies[0] = r.call(ctx, a.Entry, out.Key, body)
	out.Ended = r.Clock.Now()
	wg.Wait()
	mergeReplies(&out, replies)
	return out
}

// reply is the last result that one caller of a key got.
type reply struct {
	outcome  Outcome
	reason   string
	response *caller.Response
}

// call sends a key until its outcome is known or the limit has passed. After an
// error that leaves the effect unclear it sends the key through the next entry
// host, as callers are asked to do.
func (r *Runner) call(ctx context.Context, entry int, key string, body caller.Body) reply {
	until := r.Clock.Now().Add(r.Limit)
	uncertain := false
	for {
		var last reply
		response, _, err := r.Sender.Send(ctx, r.Sender.Entry(entry), key, body)
		var refused *RefusedError
		switch {
		case err == nil && response.State == model.RequestFinished && response.Outcome != model.OutcomeUnknown:
			return reply{Outcome(response.Outcome), response.Reason, &response}
		case err == nil && response.State == model.RequestFinished:
			last = reply{OutcomeUnknown, response.Reason, &response}
		case err == nil:
			last, uncertain = reply{OutcomeOpen, response.Reason, &response}, true
		case errors.As(err, &refused) && refused.Failure.Effect == httpapi.EffectNone && !uncertain:
			return reply{outcome: OutcomeRefused, reason: err.Error()}
		default:
			uncertain, entry = true, entry+1
			last = reply{outcome: OutcomeUnknown, reason: err.Error()}
		}
		if r.Clock.Now().Add(resendDelay).After(until) || !r.wait(ctx, resendDelay) {
			return last
		}
	}
}

// mergeReplies sets the result from the replies to all callers of one key. The
// most definite outcome wins: a refusal of one caller says nothing about the
// others' calls.
func mergeReplies(out *Result, replies []reply) {
	rank := map[Outcome]int{OutcomeDone: 5, OutcomeNotRun: 4, OutcomeUnknown: 3, OutcomeOpen: 2, OutcomeRefused: 1}
	for _, p := range replies {
		if p.response != nil {
			out.Replies = append(out.Replies, *p.response)
		}
		if rank[p.outcome] > rank[out.Outcome] {
			out.Outcome, out.Reason = p.outcome, p.reason
		}
	}
}

// payload returns a payload for the stand-in, padded to size bytes with random
// letters.
func payload(run time.Duration, size int, seed, n uint64) []byte {
	type padded struct {
		standin.Payload
		Fill string `json:"fill"`
	}
	p := padded{Payload: standin.Payload{RunMS: run.Milliseconds()}}
	p.Fill = fmt.Sprintf("%d-%d-", seed, n)
	data, _ := json.Marshal(p)
	if missing := size - len(data); missing > 0 {
		random := rand.New(rand.NewPCG(seed, n))
		var fill strings.Builder
		for range missing {
			fill.WriteByte(byte('a' + random.IntN(26)))
		}
		p.Fill += fill.String()
		data, _ = json.Marshal(p)
	}
	return data
}
