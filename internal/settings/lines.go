package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of every key of a valid document by its full
// name; elements of lists of tables are numbered from 0. The decoder gives
// lines only for its own errors, and most checks come after decoding.
func keyLines(data []byte) map[string]int {
	w := &lineWalker{lines: make(map[string]int), counts: make(map[string]int)}
	w.parser.Reset(data)
	for w.parser.NextExpression() {
		w.expression(w.parser.Expression())
	}
	return w.lines
}

type lineWalker struct {
	parser unstable.Parser
	lines  map[string]int
	counts map[string]int // elements seen of each list of tables
	table  string
}

func (w *lineWalker) expression(node *unstable.Node) {
	name, line := w.key(node)
	switch node.Kind {
	case unstable.Table:
		w.table = w.resolve(name)
		w.lines[w.table] = line
	case unstable.ArrayTable:
		w.table = fmt.Sprintf("%s[%d]", name, w.counts[name])
		if w.counts[name] == 0 {
			w.lines[name] = line
		}
		w.counts[name]++
		w.lines[w.table] = line
	case unstable.KeyValue:
		w.keyValue(w.table, node)
	}
}

// resolve names the latest element of the list that a table header such as
// [hosts.extra] belongs to.
func (w *lineWalker) resolve(name string) string {
	first, rest, nested := strings.Cut(name, ".")
	if n := w.counts[first]; n > 0 && nested {
		return fmt.Sprintf("%s[%d].%s", first, n-1, rest)
	}
	return name
}

func (w *lineWalker) keyValue(table string, node *unstable.Node) {
	name, line := w.key(node)
	full := join(table, name)
	w.lines[full] = line
	value := node.Value()
	if value == nil || value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			w.keyValue(full, it.Node())
		}
	}
}

func (w *lineWalker) key(node *unstable.Node) (string, int) {
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

func join(table, name string) string {
	switch {
	case table == "":
		return name
	case name == "":
		return table
	}
	return table + "." + name
}
