package load

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is an output format.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Printable is a report that can be printed as a table.
type Printable interface {
	// Failed reports whether a guarantee was broken.
	Failed() bool
	table(t *table)
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			texts[i] = fmt.Sprintf("%.1f", v)
		default:
			texts[i] = fmt.Sprint(v)
		}
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// Print writes a report in the given format.
func Print(out io.Writer, format Format, r Printable) error {
	if format == FormatJSON {
		return json.NewEncoder(out).Encode(r)
	}
	t := &table{w: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	r.table(t)
	return t.w.Flush()
}
