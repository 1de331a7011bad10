package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
)

// namePattern excludes dots and number signs because they are separators:
// ticket keys are "t.<data centre>.<id>" and replica ids "<host>#<incarnation>".
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const (
	allowedName    = "1 to 63 characters a-z, 0-9 and inner hyphens"
	allowedAddress = "IP:port with a port from 1 to 65535"
)

// table reads the keys of one TOML table and reports problems with their
// values. known lists the keys that were read; any other key is unknown.
type table struct {
	c      *checker
	path   string
	values map[string]any
	known  []string
}

func (t *table) lookUp(key string) (any, bool) {
	t.known = append(t.known, key)
	v, ok := t.values[key]
	return v, ok
}

func (t *table) report(key, reason, allowed string) {
	t.c.report(joinKey(t.path, key), reason, allowed)
}

func (t *table) wrongType(key string, v any, allowed string) {
	t.report(key, fmt.Sprintf("has the wrong type %s", typeName(v)), allowed)
}

func typeName(v any) string {
	switch v.(type) {
	case string:
		return "string"
	case bool:
		return "boolean"
	case int64:
		return "integer"
	case float64:
		return "float"
	case []any:
		return "list"
	case map[string]any:
		return "table"
	}
	return "date or time"
}

// str reads an optional string.
func (t *table) str(key, def string) string {
	v, ok := t.lookUp(key)
	if !ok {
		return def
	}
	s, ok := v.(string)
	if !ok {
		t.wrongType(key, v, "a string")
	}
	return s
}

// name reads a required name.
func (t *table) name(key string) string {
	if _, ok := t.values[key]; !ok {
		t.lookUp(key)
		t.report(key, "is missing", allowedName)
		return ""
	}
	s := t.str(key, "")
	if _, isString := t.values[key].(string); isString && !namePattern.MatchString(s) {
		t.report(key, fmt.Sprintf("%q is not a name", s), allowedName)
	}
	return s
}

// choice reads an optional string that must be one of the allowed ones.
func (t *table) choice(key, def string, allowed ...string) string {
	s := t.str(key, def)
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	if _, isString := t.values[key].(string); isString {
		t.report(key, fmt.Sprintf("%q is unknown", s), strings.Join(allowed, ", "))
	}
	return def
}

// address reads an IP:port. Host names are rejected because processes
// communicate by IP address.
func (t *table) address(key string, required bool) string {
	if _, ok := t.values[key]; !ok {
		t.lookUp(key)
		if required {
			t.report(key, "is missing", allowedAddress)
		}
		return ""
	}
	s := t.str(key, "")
	if _, isString := t.values[key].(string); !isString || (s == "" && !required) {
		return s
	}
	if parsed, err := netip.ParseAddrPort(s); err != nil || parsed.Port() == 0 {
		t.report(key, fmt.Sprintf("%q is not an address", s), allowedAddress)
	}
	return s
}

func (t *table) boolean(key string, def bool) bool {
	v, ok := t.lookUp(key)
	if !ok {
		return def
	}
	b, ok := v.(bool)
	if !ok {
		t.wrongType(key, v, "true or false")
	}
	return b
}

func (t *table) integer(key string, def, lower, upper int) int {
	v, ok := t.lookUp(key)
	if !ok {
		return def
	}
	allowed := fmt.Sprintf("%d to %d", lower, upper)
	n, ok := v.(int64)
	if !ok {
		t.wrongType(key, v, "an integer from "+allowed)
		return def
	}
	if n < int64(lower) || n > int64(upper) {
		t.report(key, fmt.Sprintf("%d is out of range", n), allowed)
		return def
	}
	return int(n)
}

// float reads an optional number from 0 to upper.
func (t *table) float(key string, def, upper float64) float64 {
	v, ok := t.lookUp(key)
	if !ok {
		return def
	}
	allowed := fmt.Sprintf("0 to %g", upper)
	n, ok := v.(float64)
	if i, isInt := v.(int64); isInt {
		n, ok = float64(i), true
	}
	if !ok {
		t.wrongType(key, v, "a number from "+allowed)
		return def
	}
	// The condition also rejects NaN, which TOML allows.
	if !(n >= 0 && n <= upper) {
		t.report(key, fmt.Sprintf("%g is out of range", n), allowed)
		return def
	}
	return n
}

func (t *table) duration(key string, def, lower, upper time.Duration) time.Duration {
	v, ok := t.lookUp(key)
	if !ok {
		return def
	}
	allowed := fmt.Sprintf("%s to %s", formatDuration(lower), formatDuration(upper))
	s, ok := v.(string)
	if !ok {
		t.wrongType(key, v, "a string with a unit, "+allowed)
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.report(key, strconv.Quote(s)+" is not a duration", "a number with a unit such as 500ms, "+allowed)
		return def
	}
	if d < lower || d > upper {
		t.report(key, formatDuration(d)+" is out of range", allowed)
		return def
	}
	return d
}

// formatDuration formats d without trailing zero units: 10m instead of 10m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// names reads an optional list of names.
func (t *table) names(key string) []string {
	v, ok := t.lookUp(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.wrongType(key, v, "a list of names")
		return nil
	}
	out := make([]string, 0, len(list))
	for _, item := range list {
		s, ok := item.(string)
		if !ok {
			t.wrongType(key, item, "a list of names")
			continue
		}
		out = append(out, s)
	}
	return out
}

// sub reads an optional table; a missing one is empty.
func (t *table) sub(key string) *table {
	v, ok := t.lookUp(key)
	values, isTable := v.(map[string]any)
	if ok && !isTable {
		t.wrongType(key, v, "a table")
	}
	return &table{c: t.c, path: joinKey(t.path, key), values: values}
}

// list reads an optional list of tables.
func (t *table) list(key string) []*table {
	v, ok := t.lookUp(key)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.wrongType(key, v, "a list of tables")
		return nil
	}
	out := make([]*table, 0, len(items))
	for i, item := range items {
		values, ok := item.(map[string]any)
		if !ok {
			t.wrongType(key, item, "a list of tables")
			continue
		}
		out = append(out, &table{c: t.c, path: fmt.Sprintf("%s[%d]", joinKey(t.path, key), i), values: values})
	}
	return out
}

// reportUnknownKeys reports the keys of the table that were not read.
func (t *table) reportUnknownKeys() {
	known := make(map[string]bool, len(t.known))
	for _, k := range t.known {
		known[k] = true
	}
	sort.Strings(t.known)
	for key := range t.values {
		if !known[key] {
			t.report(key, "unknown key", strings.Join(t.known, ", "))
		}
	}
}
