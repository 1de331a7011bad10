// Package logging sets up the log of a process: one line of key=value pairs
// per event, with bounded values and without secrets.
package logging

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
)

// maxValueBytes bounds one value, so that a payload in an error text cannot
// fill the log.
const maxValueBytes = 1024

// timeLayout has a fixed width, so that lines sort by their text.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// Redacted replaces a secret.
const Redacted = "[redacted]"

// secretWords mark field names whose values are never logged. Payloads and
// answers belong to the callers.
var secretWords = []string{"password", "secret", "authorization", "private_key", "payload", "answer"}

// New returns a logger that writes events of at least the given level (debug,
// info, warn or error) to out, with the time of source in UTC. It returns
// *fault.Invalid for other levels.
func New(out io.Writer, level string, source clock.Clock) (zerolog.Logger, error) {
	parsed, err := ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	raw := func(v any) string { return fmt.Sprint(v) }
	name := func(v any) string { return fmt.Sprint(v) + "=" }
	writer := zerolog.ConsoleWriter{
		Out:                 out,
		NoColor:             true,
		PartsOrder:          []string{zerolog.LevelFieldName, zerolog.TimestampFieldName, zerolog.MessageFieldName},
		FormatPrepare:       prepare,
		FormatLevel:         part("level"),
		FormatTimestamp:     part("time"),
		FormatMessage:       part("msg"),
		FormatFieldName:     name,
		FormatErrFieldName:  name,
		FormatFieldValue:    quoteRest,
		FormatErrFieldValue: quoteRest,
	}
	writer.FormatCaller = raw
	stamp := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, source.Now().UTC().Format(timeLayout))
	})
	return zerolog.New(writer).Level(parsed).Hook(stamp), nil
}

// ParseLevel returns the zerolog level of a name from the settings. It
// returns *fault.Invalid for an unknown name.
func ParseLevel(level string) (zerolog.Level, error) {
	switch level {
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(level)
	}
	return zerolog.NoLevel, &fault.Invalid{
		Field: "log level", Reason: "unknown level " + strconv.Quote(level), Allowed: "debug, info, warn, error",
	}
}

// Redact returns value, or Redacted if a field of this name holds a secret.
func Redact(name, value string) string {
	lower := strings.ToLower(name)
	for _, word := range secretWords {
		if strings.Contains(lower, word) {
			return Redacted
		}
	}
	return value
}

// prepare turns every field into one bounded string without secrets.
func prepare(fields map[string]any) error {
	for name, value := range fields {
		fields[name] = bound(Redact(name, text(value)))
	}
	return nil
}

func text(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func bound(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(s[:maxValueBytes], ""), len(s))
}

func part(name string) zerolog.Formatter {
	return func(v any) string {
		if v == nil {
			return name + `=""`
		}
		s := fmt.Sprint(v)
		if strings.ContainsFunc(s, needsQuote) {
			return name + "=" + strconv.Quote(s)
		}
		return name + "=" + quoteRest(s)
	}
}

func needsQuote(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' }

// quoteRest quotes what zerolog leaves bare although a reader of key=value
// pairs could misread it.
func quoteRest(v any) string {
	s := fmt.Sprint(v)
	if s == "" || (s[0] != '"' && strings.Contains(s, "=")) {
		return strconv.Quote(s)
	}
	return s
}
