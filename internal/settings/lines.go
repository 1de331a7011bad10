package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line number of every key of a valid document by its full
// name, such as "hosts[0].name": elements of lists of tables are numbered from 0.
// The TOML decoder reports lines only for its own errors, and most checks run
// after decoding.
func keyLines(data []byte) map[string]int {
	w := &lineWalker{lines: make(map[string]int), counts: make(map[string]int)}
	w.parser.Reset(data)
	for w.parser.NextExpression() {
		w.visit(w.parser.Expression())
	}
	return w.lines
}

type lineWalker struct {
	parser unstable.Parser
	lines  map[string]int
	counts map[string]int // elements seen so far of each list of tables
	table  string
}

func (w *lineWalker) visit(node *unstable.Node) {
	name, line := w.keyAndLine(node)
	switch node.Kind {
	case unstable.Table:
		w.table = w.latestElement(name)
		w.lines[w.table] = line
	case unstable.ArrayTable:
		w.table = fmt.Sprintf("%s[%d]", name, w.counts[name])
		if w.counts[name] == 0 {
			w.lines[name] = line
		}
		w.counts[name]++
		w.lines[w.table] = line
	case unstable.KeyValue:
		w.visitKeyValue(w.table, node)
	}
}

// latestElement returns the full name of a table header. If it is nested in a
// list of tables, such as [hosts.extra], it belongs to the latest element.
func (w *lineWalker) latestElement(name string) string {
	first, rest, nested := strings.Cut(name, ".")
	if n := w.counts[first]; n > 0 && nested {
		return fmt.Sprintf("%s[%d].%s", first, n-1, rest)
	}
	return name
}

func (w *lineWalker) visitKeyValue(table string, node *unstable.Node) {
	name, line := w.keyAndLine(node)
	full := joinKey(table, name)
	w.lines[full] = line
	value := node.Value()
	if value == nil || value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			w.visitKeyValue(full, it.Node())
		}
	}
}

func (w *lineWalker) keyAndLine(node *unstable.Node) (string, int) {
	switch node.Kind {
	case unstable.Table, unstable.ArrayTable, unstable.KeyValue:
	default:
		return "", 0
	}
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		if line == 0 {
			line = w.parser.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}

func joinKey(table, name string) string {
	switch {
	case table == "":
		return name
	case name == "":
		return table
	}
	return table + "." + name
}
