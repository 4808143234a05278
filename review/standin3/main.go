// Command standin3 runs the cases of the third review: it starts the project's programs as processes on
// loopback addresses beside stand-ins of the platform, its replicas and its consumers, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// contact is how long the scripts wait for the system to be in touch: contact_ms is 3,000.
	contact = 4 * time.Second
	// consumerTimeout is how long a consumer waits for an answer.
	consumerTimeout = 2500 * time.Millisecond
)

// scenario is one case. It returns whether the rule was broken.
type scenario func(folder string, trouble bool, rec *record) (broken bool, err error)

var scenarios = map[string]scenario{
	"foreign":    runForeign,
	"refused":    runRefused,
	"unreadable": runUnreadable,
}

func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *path, *trouble))
}

func run(name, path string, trouble bool) int {
	f := scenarios[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := f(folder, trouble, rec)
	if err != nil {
		rec.add("the case could not run: %v", err)
	}
	if closeErr := rec.close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
