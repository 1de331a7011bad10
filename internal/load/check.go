package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes. OutcomeOpen is a request without an outcome at the end of the run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRefused Outcome = "refused"
	OutcomeOpen    Outcome = "open"
)

// Result is what the callers of one key saw.
type Result struct {
	Key     string
	Kind    int
	Payload []byte
	Sent    time.Time
	Ended   time.Time
	Outcome Outcome
	Reason  string
	// Replies holds the final reply of every caller that sent the key.
	Replies []caller.Response
}

// Broken reports that a guarantee was not kept for a key.
type Broken struct {
	Guarantee string `json:"promise"`
	Key       string `json:"key"`
	Detail    string `json:"detail"`
}

// Guarantees to callers that a run checks.
const (
	GuaranteeOwnAnswer  = "a caller gets the complete answer to its own request"
	GuaranteeSameAnswer = "every caller of a key gets the same answer"
	GuaranteeNotRun     = "a request refused as not run did not run"
	GuaranteeOnce       = "a non-idempotent request runs at most once"
	GuaranteeRan        = "a request that is done ran"
)

// Check compares the results with the runs on the targets and returns the
// broken guarantees. complete means that runs holds all runs of all targets;
// otherwise guarantees that depend on the runs are not checked.
func Check(results []Result, mix []Mix, runs []standin.Run, complete bool) []Broken {
	count := make(map[string]int, len(results))
	for _, r := range runs {
		count[r.Request]++
	}
	var broken []Broken
	for i := range results {
		broken = append(broken, checkAnswers(&results[i], mix)...)
		if complete {
			broken = append(broken, checkRuns(&results[i], mix, count[results[i].Key])...)
		}
	}
	return broken
}

func checkAnswers(r *Result, mix []Mix) []Broken {
	var broken []Broken
	var first *caller.Response
	for i := range r.Replies {
		reply := &r.Replies[i]
		if reply.Key != r.Key {
			broken = append(broken, Broken{GuaranteeOwnAnswer, r.Key, "the reply names key " + reply.Key})
		}
		if reply.Outcome != model.OutcomeDone {
			continue
		}
		if detail := answerMismatch(r, mix[r.Kind].Kind.Name, reply.Answer); reply.Succeeded && detail != "" {
			broken = append(broken, Broken{GuaranteeOwnAnswer, r.Key, detail})
		}
		if first != nil && !bytes.Equal(first.Answer, reply.Answer) {
			broken = append(broken, Broken{GuaranteeSameAnswer, r.Key, fmt.Sprintf("%q and %q", first.Answer, reply.Answer)})
		}
		first = reply
	}
	return broken
}

// answerMismatch describes why an answer is not the complete answer to the
// request, or returns "" if it is.
func answerMismatch(r *Result, kind string, answer []byte) string {
	var a standin.Answer
	if err := json.Unmarshal(answer, &a); err != nil {
		return "the answer is not complete: " + err.Error()
	}
	sum := sha256.Sum256(r.Payload)
	switch {
	case a.Request != r.Key:
		return "the answer belongs to request " + a.Request
	case a.Kind != kind:
		return "the answer belongs to kind " + a.Kind
	case a.PayloadSHA256 != hex.EncodeToString(sum[:]):
		return "the target had another payload"
	}
	return ""
}

func checkRuns(r *Result, mix []Mix, runs int) []Broken {
	var broken []Broken
	if mix[r.Kind].NonIdempotent && runs > 1 {
		broken = append(broken, Broken{GuaranteeOnce, r.Key, fmt.Sprintf("it ran %d times", runs)})
	}
	refused := r.Outcome == OutcomeNotRun || r.Outcome == OutcomeRefused
	for i := range r.Replies {
		refused = refused || r.Replies[i].Outcome == model.OutcomeNotRun
	}
	if refused && runs > 0 {
		broken = append(broken, Broken{GuaranteeNotRun, r.Key, fmt.Sprintf("%s (%s), but it ran %d times", r.Outcome, r.Reason, runs)})
	}
	if r.Outcome == OutcomeDone && runs == 0 {
		broken = append(broken, Broken{GuaranteeRan, r.Key, "no target has run it"})
	}
	return broken
}
