// Package logging creates the logger of a process. It writes one line of
// key=value pairs per event, truncates long values and redacts secrets.
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

// maxValueBytes is the length at which a value is truncated, so that a payload
// in an error text cannot fill the log.
const maxValueBytes = 1024

// timeLayout has a fixed width, so that timestamps sort as text.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// Redacted is logged in place of a secret.
const Redacted = "[redacted]"

// secretWords are parts of field names whose values are never logged. Payloads
// and answers are the callers' data.
var secretWords = []string{"password", "secret", "authorization", "private_key", "payload", "answer"}

// New returns a logger that writes events of at least the given level (debug,
// info, warn or error) to out, with timestamps in UTC from source. It returns
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
		FormatPrepare:       redactFields,
		FormatLevel:         formatPart("level"),
		FormatTimestamp:     formatPart("time"),
		FormatMessage:       formatPart("msg"),
		FormatFieldName:     name,
		FormatErrFieldName:  name,
		FormatFieldValue:    quoteAmbiguous,
		FormatErrFieldValue: quoteAmbiguous,
	}
	writer.FormatCaller = raw
	addTimestamp := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, source.Now().UTC().Format(timeLayout))
	})
	return zerolog.New(writer).Level(parsed).Hook(addTimestamp), nil
}

// ParseLevel returns the zerolog level for a level name of the settings. It
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

// Redact returns value, or Redacted if the field name suggests a secret.
func Redact(name, value string) string {
	lower := strings.ToLower(name)
	for _, word := range secretWords {
		if strings.Contains(lower, word) {
			return Redacted
		}
	}
	return value
}

// redactFields converts every field to a string, redacts secrets and truncates
// long values.
func redactFields(fields map[string]any) error {
	for name, value := range fields {
		fields[name] = truncate(Redact(name, formatValue(value)))
	}
	return nil
}

func formatValue(value any) string {
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

func truncate(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(s[:maxValueBytes], ""), len(s))
}

func formatPart(name string) zerolog.Formatter {
	return func(v any) string {
		if v == nil {
			return name + `=""`
		}
		s := fmt.Sprint(v)
		if strings.ContainsFunc(s, needsQuote) {
			return name + "=" + strconv.Quote(s)
		}
		return name + "=" + quoteAmbiguous(s)
	}
}

func needsQuote(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' }

// quoteAmbiguous quotes empty values and values with an equals sign, which
// zerolog leaves unquoted and a parser of key=value pairs would misread.
func quoteAmbiguous(v any) string {
	s := fmt.Sprint(v)
	if s == "" || (s[0] != '"' && strings.Contains(s, "=")) {
		return strconv.Quote(s)
	}
	return s
}
