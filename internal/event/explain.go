package event

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// timeLayout is the format of times in sentences. They are in UTC.
const timeLayout = "2006-01-02 15:04:05.000"

// WaveState is the current state of a wave over all data centres that were
// reached.
type WaveState struct {
	Spec     model.Wave
	Progress []model.WaveProgress
	// Hosts counts the hosts of the wave's pool by data centre.
	Hosts map[string]int
}

// ExplainHost returns sentences on a host: its current state, then each
// decision about it in order. A nil state means that no reachable data centre
// knows the host.
func ExplainHost(name string, state *model.Host, events []Event) []string {
	if state == nil {
		return append([]string{fmt.Sprintf("Host %s is not known to any data centre that was reached.", name)}, sentences(events)...)
	}
	text := fmt.Sprintf("Host %s in data centre %s belongs to pool %s and is in state %s since %s",
		name, state.Info.DataCentre, state.Pool, state.State, FormatTime(state.Since))
	out := []string{text + reasonClause(state.Reason) + "."}
	if state.Wave != "" {
		out = append(out, fmt.Sprintf("It is in a step of wave %s.", state.Wave))
	}
	if state.OrderID != "" {
		out = append(out, fmt.Sprintf("The platform has reboot order %s for it.", state.OrderID))
	}
	if state.MoveTo != "" {
		out = append(out, fmt.Sprintf("It moves to pool %s once its running work has ended.", state.MoveTo))
	}
	return append(out, sentences(events)...)
}

// ExplainWave returns sentences on a wave: the operator's order, the progress
// in each data centre, then each decision in order. A nil state means that
// there is no record of the wave.
func ExplainWave(name string, state *WaveState, events []Event) []string {
	if state == nil {
		return append([]string{fmt.Sprintf("There is no record of wave %s.", name)}, sentences(events)...)
	}
	out := []string{fmt.Sprintf("Wave %s maintains the hosts of pool %s; the operator's order is: %s.",
		name, state.Spec.Pool, state.Spec.State)}
	progress := slices.Clone(state.Progress)
	sort.Slice(progress, func(i, j int) bool { return progress[i].DataCentre < progress[j].DataCentre })
	for i := range progress {
		out = append(out, waveProgress(&progress[i], state.Hosts))
	}
	if len(progress) == 0 {
		out = append(out, "No data centre that was reached has started it.")
	}
	return append(out, sentences(events)...)
}

func waveProgress(p *model.WaveProgress, hosts map[string]int) string {
	text := fmt.Sprintf("In data centre %s, %d of %d hosts are done, %d failed",
		p.DataCentre, len(p.Done), hosts[p.DataCentre], len(p.Failed))
	if len(p.Failed) > 0 {
		text += fmt.Sprintf(" (%s)", strings.Join(p.Failed, ", "))
	}
	if len(p.Current) > 0 {
		text += fmt.Sprintf(", in a step: %s", strings.Join(p.Current, ", "))
	}
	switch {
	case !p.Finished.IsZero():
		text += ", and the wave finished at " + FormatTime(p.Finished)
	case p.Paused:
		text += ", and the system paused the wave there until an operator resumes it; the reason: " + strings.TrimSuffix(p.Reason, ".")
	}
	return text + "."
}

// ExplainRequest returns sentences on a request: its outcome or state, its
// attempts, then each decision in order. A nil state means that its home
// ledger does not keep it or was not reached.
func ExplainRequest(key string, state *model.Request, events []Event) []string {
	if state == nil {
		return append([]string{fmt.Sprintf("Request %s is not in its home ledger, or that ledger was not reached.", key)}, sentences(events)...)
	}
	if state.DetailsExpired {
		return append([]string{reducedState(state)}, sentences(events)...)
	}
	out := []string{requestState(state)}
	for i := range state.Attempts {
		a := &state.Attempts[i]
		out = append(out, fmt.Sprintf("Attempt %d was assigned to host %s at %s, owned by entry host %s, and is in state %s%s.",
			a.Number, a.Host, FormatTime(a.At), a.Owner, a.State, reasonClause(a.Reason)))
	}
	return append(out, sentences(events)...)
}

// reducedState describes a reduced request: its details have expired, and only
// the key, the times, the outcome and the number of the last attempt are left.
func reducedState(r *model.Request) string {
	text := fmt.Sprintf("Request %s was claimed at %s", r.Key, FormatTime(r.Claimed)) + finished(r)
	if n := len(r.Attempts); n > 0 {
		text += fmt.Sprintf("; the last attempt was number %d", r.Attempts[n-1].Number)
	}
	return text + ". Its " + r.Reason + "."
}

func requestState(r *model.Request) string {
	text := fmt.Sprintf("Request %s of team %s (%s, pool %s) was claimed at %s",
		r.Key, r.Team, r.Kind, r.Pool, FormatTime(r.Claimed))
	if r.State != model.RequestFinished {
		return text + fmt.Sprintf(" and is %s%s.", r.State, reasonClause(r.Reason))
	}
	return text + finished(r) + reasonClause(r.Reason) + "."
}

// finished describes when a request finished and its outcome.
func finished(r *model.Request) string {
	text := fmt.Sprintf(" and finished at %s as %s", FormatTime(r.Finished), r.Outcome)
	switch r.Outcome {
	case model.OutcomeDone:
		if !r.Succeeded {
			text += ", but the run failed"
		}
	case model.OutcomeNotRun:
		text += ", with proof that no attempt began"
	case model.OutcomeUnknown:
		text += ", since there is no proof whether it ran"
	}
	return text
}

func sentences(events []Event) []string {
	out := make([]string, 0, len(events))
	for i := range events {
		out = append(out, Sentence(&events[i]))
	}
	return out
}

// Sentence describes in one sentence when the event happened, what happened, to
// which objects, by whom and why.
func Sentence(e *Event) string {
	text := fmt.Sprintf("%s: %s", FormatTime(e.Time), strings.ReplaceAll(string(e.Kind), "_", " "))
	if objects := DescribeObjects(e); objects != "" {
		text += " (" + objects + ")"
	}
	if e.Actor != "" {
		text += ", by " + e.Actor
	}
	return text + reasonClause(e.Reason) + "."
}

// DescribeObjects lists the objects that the event names.
func DescribeObjects(e *Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	add("request", e.Request)
	if e.Attempt > 0 {
		parts = append(parts, fmt.Sprintf("attempt %d", e.Attempt))
	}
	add("host", e.Host)
	add("pool", e.Pool)
	add("wave", e.Wave)
	add("data centre", e.DataCentre)
	return strings.Join(parts, ", ")
}

func reasonClause(reason string) string {
	if reason == "" {
		return ""
	}
	return ", because: " + strings.TrimSuffix(reason, ".")
}

// FormatTime returns the wall-clock part of t in UTC.
func FormatTime(t hlc.Time) string {
	if t.IsZero() {
		return "-"
	}
	return time.UnixMilli(t.WallMillis).UTC().Format(timeLayout)
}
