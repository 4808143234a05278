// Command standin plays the cases of the review that can't be put as a day of the bench. It
// starts the project's programs as separate processes on loopback addresses, with stand-ins of
// the platform's list, its servers, its operator and its clients, and checks one rule from what
// these see.
//
//	standin CASE FOLDER
//
// runs one case and writes FOLDER/record.txt. The exit status is 1 if the rule was broken, 0 if
// it held and 2 if the case couldn't run. With TROUBLE=0 in the environment, the case runs
// without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a case that takes too long.
const maxDuration = 115 * time.Second

// testCase is one case. play returns what broke the rule, or "" if the rule held.
type testCase struct {
	deployment deployment
	play       func(b *bed, trouble bool) (broken string, err error)
}

var cases = map[string]testCase{
	"restart": {restartDeployment, playRestart},
	"copies":  {copiesDeployment, playCopies},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(c, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit status. All processes that it started have ended then.
func run(c testCase, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	b, err := newBed(c.deployment, rec)
	if err != nil {
		rec.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := c.play(b, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case <-stop:
		r.err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxDuration):
		r.err = fmt.Errorf("not complete after %v", maxDuration)
	}
	switch {
	case r.err != nil:
		rec.note("not run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return exitNotRun
	case r.broken != "":
		rec.note("RULE BROKEN: %s", r.broken)
		fmt.Println("rule broken:", r.broken)
		return exitBroken
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
