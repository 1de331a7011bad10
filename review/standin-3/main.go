// Command standin-3 plays the cases of the third review: it starts the project's programs on
// loopback addresses, and is their clients, executors and provider.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxHoldMS is the longest lease of an executor in the site ramdin-rota, longHoldMS that in
// cegtabla-ops.
const (
	maxHoldMS  = 6000
	longHoldMS = 10000
)

// notRunError ends a case that could not run.
type notRunError string

func (e notRunError) Error() string { return string(e) }

// cannotRun ends the case.
func cannotRun(reason string) { panic(notRunError(reason)) }

// play is a case. It reports whether the rule held.
type play func(w *world, trouble bool) bool

var plays = map[string]struct {
	entries, machines int
	boots             bool // the play begins once the system serves
	play              play
}{
	"silent":      {2, 6, true, playSilent},
	"lapse":       {2, 6, true, playLapse},
	"timed":       {2, 6, true, playTimed},
	"late-starts": {2, 6, true, playLateStarts},
	"returned":    {2, 8, true, playReturned},
	"first-start": {2, 6, false, playFirstStart},
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name, and returns its exit code.
func run() (code int) {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/agatehavend", "the project's program")
	record := flag.String("record", "record.txt", "file of what was sent, answered and run")
	flag.Parse()
	chosen, known := plays[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	}
	path, err := filepath.Abs(*binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	var w *world
	defer func() {
		if w != nil {
			w.system.close()
		}
		if r := recover(); r != nil {
			fmt.Println("the case could not run:", r)
			code = notRun
		}
	}()
	w = newWorld(dir, path, *record, chosen.entries, chosen.machines)
	w.system.maxHoldMS = maxHoldMS
	if *name == "returned" {
		w.system.maxHoldMS = longHoldMS
	}
	if chosen.boots {
		w.boot()
	}
	if chosen.play(w, os.Getenv("TROUBLE") != "0") {
		w.note("the rule held")
		fmt.Println("the rule held")
		return ruleHeld
	}
	w.note("the rule was broken")
	fmt.Println("the rule was broken")
	return ruleBroken
}
