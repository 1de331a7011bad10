package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
)

// maxChangeAttempts limits the attempts to change a wave when other operators
// change the records at the same time.
const maxChangeAttempts = 3

// watchInterval is the time between two polls of a watched wave.
const watchInterval = 2 * time.Second

func wavesCommand(a *app) *commandGroup {
	return &commandGroup{
		app: a, name: "waves", synopsis: "list, start, pause, resume, cancel and watch maintenance waves",
		children: []*subcommand{
			wavesListCommand(a), wavesStartCommand(a), wavesWatchCommand(a),
			waveStateCommand(a, "pause", "start no further step; steps under way end", model.WavePaused),
			waveStateCommand(a, "resume", "continue a wave that an operator or the system paused", model.WaveRunning),
			waveStateCommand(a, "cancel", "end a wave; steps under way end, hosts not yet done stay as they are", model.WaveCancelled),
		},
	}
}

func wavesListCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "list", synopsis: "show waves and their progress",
		help: "Shows every wave with its progress in each data centre.",
		run: func(ctx context.Context, _ []string) error {
			waves, err := fetch[query.Waves](ctx, a, "/v1/waves", nil)
			if err != nil {
				return err
			}
			if err := a.print(waves, func(t *tableWriter) { waveTable(t, waves) }); err != nil {
				return err
			}
			return checkReached(waves.Unreachable)
		},
	}
}

func waveTable(t *tableWriter, waves *query.Waves) {
	t.row("WAVE", "POOL", "ORDER", "DATA CENTRE", "DONE", "FAILED", "IN STEP", "STATE", "REASON")
	for i := range waves.Waves {
		w := &waves.Waves[i]
		if len(w.Progress) == 0 {
			t.row(w.Name, w.Spec.Pool, w.Spec.State, "", "", "", "", "not started", "")
		}
		for _, p := range sortedProgress(w) {
			t.row(w.Name, w.Spec.Pool, w.Spec.State, p.DataCentre,
				fmt.Sprintf("%d/%d", len(p.Done), w.Hosts[p.DataCentre]), len(p.Failed),
				strings.Join(p.Current, ","), progressState(&w.Spec, &p), p.Reason)
		}
	}
}

func sortedProgress(w *query.WaveRow) []model.WaveProgress {
	out := append([]model.WaveProgress(nil), w.Progress...)
	sort.Slice(out, func(i, j int) bool { return out[i].DataCentre < out[j].DataCentre })
	return out
}

func progressState(spec *model.Wave, p *model.WaveProgress) string {
	switch {
	case !p.Finished.IsZero():
		return "finished"
	case p.Paused:
		return "paused by the system"
	case spec.State != model.WaveRunning:
		return string(spec.State)
	}
	return "running"
}

func wavesStartCommand(a *app) *subcommand {
	spec := model.Wave{State: model.WaveRunning}
	var returnLimit, verify time.Duration
	return &subcommand{
		app: a, name: "start", synopsis: "start a wave over all hosts of a pool", args: []string{"NAME"}, minArgs: 1,
		help: `
Creates the record of a wave, which drains, reboots and verifies every host of
a pool within its floors. A wave of the same name that was cancelled stays
cancelled: use a new name for every wave.
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&spec.Pool, "pool", "", "the `pool`; required")
			f.IntVar(&spec.MaxConcurrent, "max-concurrent", 0, "bound for hosts in a step per data centre; 0 leaves it to the floors")
			f.IntVar(&spec.FailureThreshold, "failure-threshold", 1, "failed hosts per data centre before the wave pauses itself")
			f.DurationVar(&returnLimit, "return-limit", 10*time.Minute, "how long a rebooted host may take to announce itself")
			f.DurationVar(&verify, "verify", 30*time.Second, "how long a rebooted host must announce itself steadily")
		},
		run: func(ctx context.Context, args []string) error {
			if spec.Pool == "" {
				return &UsageError{Reason: "a wave needs a pool", Next: "add -pool NAME before the wave's name"}
			}
			spec.ReturnLimitMS, spec.VerifyMS = int(returnLimit.Milliseconds()), int(verify.Milliseconds())
			records, err := a.records(ctx)
			if err != nil {
				return err
			}
			if _, err := findRecord(records, model.KindWave, args[0]); err == nil {
				return &UsageError{
					Reason: fmt.Sprintf("wave %s exists already", args[0]),
					Next:   "use a new name, or `agatehavenctl waves resume " + args[0] + "`",
				}
			}
			data, err := json.Marshal(&spec)
			if err != nil {
				return eris.Wrap(err, "encode wave")
			}
			record := model.Record{Schema: 1, Kind: model.KindWave, Name: args[0], Spec: data}
			return a.apply(ctx, &change{records: []model.Record{record}, revision: records.Revision})
		},
	}
}

func waveStateCommand(a *app, name, synopsis string, state model.WaveState) *subcommand {
	return &subcommand{
		app: a, name: name, synopsis: synopsis, args: []string{"NAME"}, minArgs: 1,
		help: "Changes the wave's record: " + synopsis + ".",
		run: func(ctx context.Context, args []string) error {
			return a.setWaveState(ctx, args[0], state)
		},
	}
}

// setWaveState changes the desired state of a wave. The change touches no other
// settings of the wave, so it is repeated on the new revision after a conflict.
func (a *app) setWaveState(ctx context.Context, name string, state model.WaveState) error {
	for try := 1; ; try++ {
		records, err := a.records(ctx)
		if err != nil {
			return err
		}
		record, err := findRecord(records, model.KindWave, name)
		if err != nil {
			return err
		}
		changed, err := withWaveState(record, state)
		if err != nil {
			return err
		}
		err = a.apply(ctx, &change{records: []model.Record{*changed}, revision: records.Revision})
		if fault.CodeOf(err) != fault.CodeRevisionConflict || try == maxChangeAttempts {
			return err
		}
	}
}

// withWaveState returns the record with the wave's state changed. It edits the
// raw spec to keep fields of newer versions. Resuming increments the resume
// count, which also ends a pause by the system.
func withWaveState(record *model.Record, state model.WaveState) (*model.Record, error) {
	fields := make(map[string]any)
	decoder := json.NewDecoder(bytes.NewReader(record.Spec))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return nil, eris.Wrapf(err, "read wave %s", record.Name)
	}
	var spec model.Wave
	if err := json.Unmarshal(record.Spec, &spec); err != nil {
		return nil, eris.Wrapf(err, "read wave %s", record.Name)
	}
	if spec.State == model.WaveCancelled && state != model.WaveCancelled {
		return nil, &fault.Precondition{What: "wave " + record.Name, Reason: "it is cancelled; start a wave with a new name"}
	}
	fields["state"] = state
	if state == model.WaveRunning {
		fields["resume"] = spec.Resume + 1
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, eris.Wrap(err, "encode wave")
	}
	out := *record
	out.Spec = data
	return &out, nil
}

func wavesWatchCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "watch", synopsis: "print the progress of a wave until it ends", args: []string{"NAME"}, minArgs: 1,
		help: `
Prints a line for every change of progress and ends once no data centre
continues the wave: with code 0 if it finished everywhere, 5 if the system
paused it, 1 if it was cancelled.
`,
		run: func(ctx context.Context, args []string) error { return a.watchWave(ctx, args[0]) },
	}
}

func (a *app) watchWave(ctx context.Context, name string) error {
	lastLines := make(map[string]string)
	for {
		waves, err := fetch[query.Waves](ctx, a, "/v1/waves", nil)
		if err != nil {
			return err
		}
		w := findWave(waves, name)
		if w == nil {
			return &fault.NotFound{Kind: "wave", Name: name}
		}
		a.printProgress(w, lastLines)
		if done, err := waveOutcome(w, waves.Unreachable); done {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.env.Clock.After(watchInterval):
		}
	}
}

func findWave(waves *query.Waves, name string) *query.WaveRow {
	for i := range waves.Waves {
		if waves.Waves[i].Name == name {
			return &waves.Waves[i]
		}
	}
	return nil
}

func (a *app) printProgress(w *query.WaveRow, lastLines map[string]string) {
	for _, p := range sortedProgress(w) {
		line := fmt.Sprintf("%s: %d/%d done, %d failed, %s", p.DataCentre, len(p.Done), w.Hosts[p.DataCentre],
			len(p.Failed), progressState(&w.Spec, &p))
		if len(p.Current) > 0 {
			line += ", in step: " + strings.Join(p.Current, ", ")
		}
		if p.Reason != "" {
			line += " (" + p.Reason + ")"
		}
		if lastLines[p.DataCentre] != line {
			lastLines[p.DataCentre] = line
			a.line("%s  %s", a.env.Clock.Now().UTC().Format(time.TimeOnly), sanitiseCell(line))
		}
	}
}

// waveOutcome reports whether the wave has ended or is paused in every data
// centre, and returns an error unless it finished. A data centre with hosts of
// the pool but without progress has not begun yet.
func waveOutcome(w *query.WaveRow, unreachable []string) (bool, error) {
	if w.Spec.State == model.WaveCancelled {
		return true, &fault.Unavailable{What: "wave " + w.Name, Reason: "it was cancelled"}
	}
	progress := make(map[string]*model.WaveProgress)
	for i := range w.Progress {
		progress[w.Progress[i].DataCentre] = &w.Progress[i]
	}
	paused, reason := false, ""
	for centre, hosts := range w.Hosts {
		p := progress[centre]
		switch {
		case hosts > 0 && (p == nil || (p.Finished.IsZero() && !p.Paused)):
			return false, nil
		case p != nil && p.Finished.IsZero() && p.Paused:
			paused, reason = true, p.Reason
		}
	}
	if len(unreachable) > 0 {
		return false, nil
	}
	if paused {
		return true, &fault.Precondition{What: "wave " + w.Name, Reason: "paused by the system: " + reason}
	}
	return len(w.Progress) > 0, nil
}
