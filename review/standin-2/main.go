package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(rec *record, trouble bool) error{
	"same-key":   sameKey,
	"prefix":     prefix,
	"many-keys":  manyKeys,
	"silence":    silence,
	"connection": connectionHeader,
	"gone":       gone,
}

// longest is how long a case may take.
const longest = 100 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the repository's root")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(longest, func() {
		rec.note("could not run: not done after %v", longest)
		endAll()
		os.Exit(exitNotRun)
	})
	err = cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case rec.broken > 0:
		rec.note("the rule was broken %d times", rec.broken)
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
