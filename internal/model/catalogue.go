package model

import (
	"bytes"
	"encoding/json"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Defaults of fields that an operator leaves out.
const (
	DefaultCPUMillis   = 1000
	DefaultMemoryMB    = 512
	DefaultRunTimeMS   = 1000
	DefaultStopLimitMS = 30_000
	// DefaultMaxAttempts applies to idempotent job kinds; others get 1.
	DefaultMaxAttempts = 3
	// DefaultFailureThreshold tolerates the independent failure of one host; a
	// second failure in the same data centre is treated as correlated.
	DefaultFailureThreshold = 2
	DefaultReturnLimitMS    = 600_000
	// DefaultVerifyMS is the time of ten announcements, which are sent every
	// second.
	DefaultVerifyMS   = 10_000
	DefaultMaxRunning = 64
	DefaultMaxQueued  = 1000
)

// ParseCatalogue decodes records. Records with a schema above SchemaMax are
// listed in Skipped and not interpreted. Unknown fields of a supported schema
// are ignored here, since ValidateRecord refuses them when an operator applies
// the record. Missing fields get the defaults of this package; the homes of a
// pool come from r.Homes, where the region group keeps the list that was fixed
// when the pool was created. It returns *fault.Invalid for a record that cannot
// be decoded.
func ParseCatalogue(r *Records) (*Catalogue, error) {
	c := &Catalogue{
		Revision: r.Revision,
		Pools:    make(map[string]*Pool),
		JobKinds: make(map[string]*JobKind),
		Waves:    make(map[string]*Wave),
		Quotas:   make(map[string]*Quota),
		Floors:   r.Floors,
	}
	for _, rec := range r.Items {
		if rec.Schema > SchemaMax {
			c.Skipped = append(c.Skipped, rec)
			continue
		}
		if err := c.add(rec, r); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Catalogue) add(rec Record, r *Records) error {
	switch rec.Kind {
	case KindPool:
		p, err := decodePool(rec, false)
		if err != nil {
			return err
		}
		if homes := r.Homes[rec.Name]; len(homes) > 0 {
			p.Homes = homes
		}
		c.Pools[rec.Name] = p
	case KindJobKind:
		k, err := decodeJobKind(rec, false)
		if err != nil {
			return err
		}
		c.JobKinds[rec.Name] = k
	case KindWave:
		w, err := decodeWave(rec, false)
		if err != nil {
			return err
		}
		w.Created = r.WaveCreated[rec.Name]
		c.Waves[rec.Name] = w
	case KindQuota:
		q, err := decodeQuota(rec, false)
		if err != nil {
			return err
		}
		c.Quotas[rec.Name] = q
	default:
		return invalidKind(rec.Kind)
	}
	return nil
}

func decodePool(rec Record, strict bool) (*Pool, error) {
	p := &Pool{Name: rec.Name}
	return p, decodeSpec(rec.Spec, p, strict)
}

func decodeJobKind(rec Record, strict bool) (*JobKind, error) {
	k := &JobKind{
		Name: rec.Name, Priority: Normal, CPUMillis: DefaultCPUMillis, MemoryMB: DefaultMemoryMB,
		RunTimeMS: DefaultRunTimeMS, StopLimitMS: DefaultStopLimitMS,
	}
	if err := decodeSpec(rec.Spec, k, strict); err != nil {
		return nil, err
	}
	if k.MaxAttempts == 0 {
		k.MaxAttempts = 1
		if k.Idempotent {
			k.MaxAttempts = DefaultMaxAttempts
		}
	}
	return k, nil
}

func decodeWave(rec Record, strict bool) (*Wave, error) {
	w := &Wave{
		Name: rec.Name, State: WaveRunning, FailureThreshold: DefaultFailureThreshold,
		ReturnLimitMS: DefaultReturnLimitMS, VerifyMS: DefaultVerifyMS,
	}
	return w, decodeSpec(rec.Spec, w, strict)
}

func decodeQuota(rec Record, strict bool) (*Quota, error) {
	q := &Quota{Team: rec.Name, MaxRunning: DefaultMaxRunning, MaxQueued: DefaultMaxQueued}
	return q, decodeSpec(rec.Spec, q, strict)
}

// decodeSpec decodes a JSON document into a struct that contains the defaults. If
// strict, it refuses unknown fields.
func decodeSpec(spec json.RawMessage, into any, strict bool) error {
	if !bytes.HasPrefix(bytes.TrimSpace(spec), []byte("{")) { // the decoder would accept null as an empty object
		return &fault.Invalid{Field: "spec", Reason: "not an object", Allowed: "one JSON object"}
	}
	d := json.NewDecoder(bytes.NewReader(spec))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(into); err != nil {
		return specError(err)
	}
	if d.More() {
		return &fault.Invalid{Field: "spec", Reason: "data after the document", Allowed: "one JSON object"}
	}
	return nil
}
