package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// tableWriter collects rows of tab-separated cells.
type tableWriter struct{ rows []string }

func (t *tableWriter) row(cells ...any) {
	text := make([]string, len(cells))
	for i, cell := range cells {
		text[i] = sanitiseCell(fmt.Sprint(cell))
	}
	t.rows = append(t.rows, strings.Join(text, "\t"))
}

// sanitiseCell replaces control characters by spaces, since names and reasons
// may come from targets and could break the table or the terminal.
func sanitiseCell(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
	if s == "" {
		return "-"
	}
	return s
}

// print writes v as JSON, or as a table of the rows that fill adds.
func (a *app) print(v any, fill func(t *tableWriter)) error {
	if a.output == "json" {
		encoder := json.NewEncoder(a.env.Stdout)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(v), "write output")
	}
	var t tableWriter
	fill(&t)
	w := tabwriter.NewWriter(a.env.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(w, row)
	}
	return eris.Wrap(w.Flush(), "write output")
}

// printNotice writes a line to standard error that is not part of the output.
func (a *app) printNotice(format string, args ...any) {
	_, _ = fmt.Fprintf(a.env.Stderr, format+"\n", args...)
}

// line writes one line of output at once, without table alignment.
func (a *app) line(format string, args ...any) {
	_, _ = fmt.Fprintf(a.env.Stdout, format+"\n", args...)
}

// checkReached returns *NotEverywhereError if a query did not reach every
// process or data centre.
func checkReached(unreachable []string) error {
	if len(unreachable) == 0 {
		return nil
	}
	return &NotEverywhereError{
		What:  "the answer is partial, not reached",
		Names: unreachable,
		Next:  "see `agatehavenctl status`; ask an entry host on the other side of a partition with -server",
	}
}
