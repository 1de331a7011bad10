package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/model"
)

// recordFile is the content of a file of records in TOML or JSON.
type recordFile struct {
	Records []fileRecord `toml:"records" json:"records"`
}

type fileRecord struct {
	Schema  int            `toml:"schema" json:"schema"`
	Kind    string         `toml:"kind" json:"kind"`
	Name    string         `toml:"name" json:"name"`
	Spec    map[string]any `toml:"spec" json:"spec"`
	Deleted bool           `toml:"deleted" json:"deleted"`
}

// stringList is a flag that may be repeated.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *stringList) Set(s string) error {
	*l = append(*l, s)
	return nil
}

var _ flag.Value = (*stringList)(nil)

// readRecords reads records from files; "-" is standard input. It also returns
// warnings about fields that this version does not know.
func (a *app) readRecords(paths []string) ([]model.Record, []string, error) {
	var out []model.Record
	var warnings []string
	seen := make(map[string]string)
	for _, path := range paths {
		records, err := a.readRecordFile(path)
		if err != nil {
			return nil, nil, err
		}
		for _, r := range records {
			name := string(r.Kind) + " " + r.Name
			if first, ok := seen[name]; ok {
				return nil, nil, &UsageError{
					Reason: fmt.Sprintf("%s is in %s and again in %s", name, first, path), Next: "keep one of them",
				}
			}
			seen[name] = path
			if warning := unknownFields(&r); warning != "" {
				warnings = append(warnings, fmt.Sprintf("%s: %s: %s", path, name, warning))
			}
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return nil, nil, &UsageError{Reason: "no records given", Next: "add [[records]] entries; see examples/records.toml"}
	}
	return out, warnings, nil
}

// readFile reads a file in TOML or JSON into out; "-" is standard input. example names a valid
// file.
func (a *app) readFile(path, example string, out any) error {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(a.env.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return &UsageError{Reason: err.Error(), Next: "check the path given with -f"}
	}
	if err := decodeFile(data, out); err != nil {
		return &UsageError{Reason: path + ": " + err.Error(), Next: "correct the file; see " + example}
	}
	return nil
}

func (a *app) readRecordFile(path string) ([]model.Record, error) {
	var file recordFile
	if err := a.readFile(path, "examples/records.toml", &file); err != nil {
		return nil, err
	}
	out := make([]model.Record, 0, len(file.Records))
	for i, r := range file.Records {
		if r.Schema < 1 || r.Kind == "" || r.Name == "" {
			return nil, &UsageError{
				Reason: fmt.Sprintf("%s: record %d (%s %s) needs schema, kind and name", path, i+1, r.Kind, r.Name),
				Next:   "correct the file; see examples/records.toml",
			}
		}
		spec, err := json.Marshal(r.Spec)
		if err != nil {
			return nil, eris.Wrap(err, "encode record")
		}
		if r.Deleted || r.Spec == nil {
			spec = []byte("{}")
		}
		out = append(out, model.Record{Schema: r.Schema, Kind: model.RecordKind(r.Kind), Name: r.Name, Spec: spec, Deleted: r.Deleted})
	}
	return out, nil
}

// decodeFile decodes valid JSON as JSON and everything else as TOML.
func decodeFile(data []byte, file any) error {
	if json.Valid(data) {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		// json.Number keeps large integers from being rounded to float64.
		decoder.UseNumber()
		return eris.Wrap(decoder.Decode(file), "JSON")
	}
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(file)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return eris.Wrap(&UsageError{Reason: strict.String()}, "unknown fields")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return eris.Wrapf(err, "line %d, column %d", row, column)
	}
	return eris.Wrap(err, "TOML")
}

// unknownFields returns a warning if the spec has fields that this version does
// not know. They are sent all the same, because a newer daemon may understand
// them, but they are often misspelt.
func unknownFields(r *model.Record) string {
	var spec any
	switch r.Kind {
	case model.KindPool:
		spec = &model.Pool{}
	case model.KindJobKind:
		spec = &model.JobKind{}
	case model.KindWave:
		spec = &model.Wave{}
	case model.KindQuota:
		spec = &model.Quota{}
	default:
		return "this version of the tool does not know the kind"
	}
	if r.Deleted || r.Schema > model.SchemaMax {
		return ""
	}
	decoder := json.NewDecoder(bytes.NewReader(r.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return strings.TrimPrefix(err.Error(), "json: ") + " in spec; it is sent as it is"
	}
	return ""
}
