package settings

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Problem is one reason why a settings file is rejected.
type Problem struct {
	// Key is the full name of the key, such as "limits.payload_bytes".
	Key string
	// Line is the line in the file, from 1; 0 if the key has none.
	Line   int
	Reason string
	// Allowed describes the accepted range or form; empty if there is none.
	Allowed string
}

func (p Problem) String() string {
	text := p.Reason
	if p.Allowed != "" {
		text += fmt.Sprintf(" (allowed: %s)", p.Allowed)
	}
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Key, text)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, text)
}

// RefusedError reports all problems of a settings file.
type RefusedError struct {
	Path     string
	Problems []Problem
}

func (e *RefusedError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings %s refused, problems: %d", e.Path, len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Code implements fault.Coded.
func (e *RefusedError) Code() fault.Code { return fault.CodeInvalid }

// checker collects problems and adds the line of their key.
type checker struct {
	lines    map[string]int
	problems []Problem
}

func (c *checker) report(key, reason, allowed string) {
	c.problems = append(c.problems, Problem{Key: key, Line: c.lineOf(key), Reason: reason, Allowed: allowed})
}

// reported reports whether a problem of the key is recorded already.
func (c *checker) reported(key string) bool {
	return slices.ContainsFunc(c.problems, func(p Problem) bool { return p.Key == key })
}

// lineOf returns the line of a key or, if it is missing, of the closest
// enclosing table in the file.
func (c *checker) lineOf(key string) int {
	for key != "" {
		if line, ok := c.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

func (c *checker) sortedProblems() []Problem {
	sort.SliceStable(c.problems, func(i, j int) bool {
		a, b := c.problems[i], c.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Key < b.Key
	})
	return c.problems
}
