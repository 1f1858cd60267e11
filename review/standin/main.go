// Command standin plays the cases of the review: it starts nodes as processes, plays the platform's
// store, the endpoints and the clients around them, and checks one rule by what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxLength ends a case that hangs.
const maxLength = 115 * time.Second

// scenario is all that a case works with.
type scenario struct {
	rec      *record
	store    *store
	machines []*machine
	servers  []*server
	next     atomic.Int64 // number of the last attempt
	trouble  bool         // whether the disruption is played

	dir, storeAddr string
}

// cases are the cases by name. Each returns what broke the rule, or an error if it could not run.
var cases = map[string]func(*scenario) (broken []string, err error){
	"late-extra-421":            lateExtra421,
	"power-loss-after-releases": powerLossAfterReleases,
	"leave-and-restart":         leaveAndRestart,
	"added-prefix":              addedPrefix,
	"store-from-a-copy":         storeFromACopy,
	"connection-header":         connectionHeader,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "`NAME` of the case")
	path := flag.String("record", "record.txt", "`FILE` to write what was sent, answered and run")
	keep := flag.String("logs", "", "`FOLDER` for settings and logs of the nodes; a temporary one if empty")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "play the disruption")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: no case has the name %q\n", *name)
		return exitCannot
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannot
	}
	defer rec.close()
	s := &scenario{rec: rec, store: newStore(), trouble: *trouble}
	rec.line("case %s, trouble %v", *name, s.trouble)
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "marlpass-review-"); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			return exitCannot
		}
		defer os.RemoveAll(dir)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	defer s.close()
	if err := s.open(dir); err != nil {
		rec.line("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannot
	}
	go func() {
		broken, err := run(s)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-stopped:
		r.err = errors.New("ended by a signal")
	case <-time.After(maxLength):
		r.err = errors.New("took too long")
	}
	switch {
	case r.err != nil:
		rec.line("cannot run: %v", r.err)
		fmt.Fprintln(os.Stderr, "standin:", r.err)
		return exitCannot
	case len(r.broken) > 0:
		for _, b := range r.broken {
			rec.line("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
