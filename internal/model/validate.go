package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Bounds of records. They prevent one record from exhausting the memory or the
// log of every process in the region.
const (
	MaxSpecBytes  = 64 << 10
	maxHosts      = 100_000
	maxDurationMS = 7 * 24 * 3600 * 1000
	maxCPUMillis  = 1_000_000
	maxMemoryMB   = 16 << 20
	maxAttempts   = 100
	maxQueueLimit = 1_000_000
)

const allowedNames = "1 to 63 lower-case letters, digits, '.', '_' and '-', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidateRecord checks one record as an operator submits it. It is strict:
// an unknown field of a supported schema, a value out of its range and a
// malformed name are refused with *fault.Invalid. A record of a newer schema
// passes if its envelope is well formed, since its spec cannot be interpreted.
// References to other records are checked by the region group.
func ValidateRecord(rec Record) error {
	if rec.Schema < SchemaMin {
		return &fault.Invalid{Field: "schema", Reason: fmt.Sprintf("%d is too small", rec.Schema),
			Allowed: fmt.Sprintf("at least %d", SchemaMin)}
	}
	if !namePattern.MatchString(rec.Name) {
		return &fault.Invalid{Field: "name", Reason: fmt.Sprintf("%q is malformed", rec.Name), Allowed: allowedNames}
	}
	if rec.Schema > SchemaMax {
		return validateNewer(rec)
	}
	if !isKnownKind(rec.Kind) {
		return invalidKind(rec.Kind)
	}
	if rec.Deleted {
		return nil
	}
	if len(rec.Spec) > MaxSpecBytes {
		return &fault.Invalid{Field: "spec", Reason: "too large", Allowed: fmt.Sprintf("at most %d bytes", MaxSpecBytes)}
	}
	return validateSpec(rec)
}

func validateNewer(rec Record) error {
	switch {
	case !namePattern.MatchString(string(rec.Kind)):
		return &fault.Invalid{Field: "kind", Reason: fmt.Sprintf("%q is malformed", rec.Kind), Allowed: allowedNames}
	case len(rec.Spec) > MaxSpecBytes:
		return &fault.Invalid{Field: "spec", Reason: "too large", Allowed: fmt.Sprintf("at most %d bytes", MaxSpecBytes)}
	case !rec.Deleted && !json.Valid(rec.Spec):
		return &fault.Invalid{Field: "spec", Reason: "not a JSON document", Allowed: "one JSON document"}
	}
	return nil
}

func validateSpec(rec Record) error {
	switch rec.Kind {
	case KindPool:
		return validatePool(rec)
	case KindJobKind:
		return validateJobKind(rec)
	case KindWave:
		return validateWave(rec)
	default:
		q, err := decodeQuota(rec, true)
		if err != nil {
			return err
		}
		return firstError(
			checkRange("max_running", q.MaxRunning, 0, maxQueueLimit),
			checkRange("max_queued", q.MaxQueued, 0, maxQueueLimit))
	}
}

func validatePool(rec Record) error {
	p, err := decodePool(rec, true)
	if err != nil {
		return err
	}
	if rec.Schema == 1 {
		if err := rejectFields(rec.Spec, "floors", "spare"); err != nil {
			return err
		}
	}
	if err := checkRange("min_available", p.MinAvailable, 0, maxHosts); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, h := range p.Homes {
		if !namePattern.MatchString(h) || seen[h] {
			return &fault.Invalid{Field: "homes", Reason: fmt.Sprintf("%q is malformed or repeated", h),
				Allowed: "distinct names of data centres"}
		}
		seen[h] = true
	}
	if err := firstError(checkHostCounts("floors", p.Floors), checkHostCounts("desired", p.Desired)); err != nil {
		return err
	}
	sum := 0
	for _, n := range p.Floors {
		sum += n
	}
	if len(p.Floors) > 0 && sum < p.MinAvailable {
		return &fault.Invalid{Field: "floors", Reason: fmt.Sprintf("the sum %d is below min_available", sum),
			Allowed: fmt.Sprintf("a sum of at least %d", p.MinAvailable)}
	}
	return nil
}

// checkHostCounts visits data centres in sorted order, so that every replica
// reports the same error.
func checkHostCounts(field string, counts map[string]int) error {
	for _, dc := range slices.Sorted(maps.Keys(counts)) {
		if !namePattern.MatchString(dc) {
			return &fault.Invalid{Field: field, Reason: fmt.Sprintf("%q is malformed", dc), Allowed: allowedNames}
		}
		if err := checkRange(field+"."+dc, counts[dc], 0, maxHosts); err != nil {
			return err
		}
	}
	return nil
}

func validateJobKind(rec Record) error {
	k, err := decodeJobKind(rec, true)
	if err != nil {
		return err
	}
	if k.Priority != Urgent && k.Priority != Normal && k.Priority != Patient {
		return &fault.Invalid{Field: "priority", Reason: fmt.Sprintf("%q is unknown", k.Priority),
			Allowed: "urgent, normal, patient"}
	}
	if rec.Schema == 1 {
		if err := rejectFields(rec.Spec, "checkpointable"); err != nil {
			return err
		}
	}
	if k.Checkpointable && !k.Idempotent {
		return &fault.Invalid{Field: "checkpointable", Reason: "the job kind is not idempotent", Allowed: "false"}
	}
	if !k.Idempotent && k.MaxAttempts != 1 {
		return &fault.Invalid{Field: "max_attempts", Reason: "the job kind is not idempotent", Allowed: "1"}
	}
	return firstError(
		checkPoolName(k.Pool),
		checkRange("cpu_millis", k.CPUMillis, 1, maxCPUMillis),
		checkRange("memory_mb", k.MemoryMB, 1, maxMemoryMB),
		checkRange("accelerators", k.Accelerators, 0, 1024),
		checkRange("run_time_ms", k.RunTimeMS, 1, maxDurationMS),
		checkRange("stop_limit_ms", k.StopLimitMS, 0, maxDurationMS),
		checkRange("max_attempts", k.MaxAttempts, 1, maxAttempts))
}

func validateWave(rec Record) error {
	w, err := decodeWave(rec, true)
	if err != nil {
		return err
	}
	if w.State != WaveRunning && w.State != WavePaused && w.State != WaveCancelled {
		return &fault.Invalid{Field: "state", Reason: fmt.Sprintf("%q is unknown", w.State),
			Allowed: "running, paused, cancelled"}
	}
	return firstError(
		checkPoolName(w.Pool),
		checkRange("max_concurrent", w.MaxConcurrent, 0, maxHosts),
		checkRange("failure_threshold", w.FailureThreshold, 1, maxHosts),
		checkRange("return_limit_ms", w.ReturnLimitMS, 1000, maxDurationMS),
		checkRange("verify_ms", w.VerifyMS, 0, maxDurationMS),
		checkRange("resume", w.Resume, 0, maxQueueLimit))
}

func checkPoolName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return &fault.Invalid{Field: "pool", Reason: fmt.Sprintf("%q is malformed", name), Allowed: allowedNames}
}

func checkRange(field string, v, low, high int) error {
	if v >= low && v <= high {
		return nil
	}
	return &fault.Invalid{Field: field, Reason: fmt.Sprintf("%d is out of range", v),
		Allowed: fmt.Sprintf("%d to %d", low, high)}
}

func rejectFields(spec json.RawMessage, fields ...string) error {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(spec, &doc); err != nil {
		return specError(err)
	}
	for _, f := range fields {
		for key := range doc {
			if strings.EqualFold(key, f) { // the decoder ignores case too
				return &fault.Invalid{Field: f, Reason: "unknown field of schema 1", Allowed: "schema 2"}
			}
		}
	}
	return nil
}

func isKnownKind(k RecordKind) bool {
	return k == KindPool || k == KindJobKind || k == KindWave || k == KindQuota
}

func invalidKind(k RecordKind) error {
	return &fault.Invalid{Field: "kind", Reason: fmt.Sprintf("%q is unknown", k), Allowed: "pool, job_kind, wave, quota"}
}

// specError converts an error of the JSON decoder to *fault.Invalid. The decoder
// has no error type for unknown fields, so the field is taken from its text.
func specError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return &fault.Invalid{Field: typeErr.Field, Reason: "has the wrong type " + typeErr.Value, Allowed: typeErr.Type.String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &fault.Invalid{Field: strings.Trim(name, `"`), Reason: "unknown field", Allowed: "the fields of this schema"}
	}
	return &fault.Invalid{Field: "spec", Reason: err.Error(), Allowed: "one JSON object"}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
