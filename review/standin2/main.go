// Command standin2 runs the cases of the second review: it starts the system's own processes on loopback
// addresses, with stand-ins of the platform, the replicas, the operator and the consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAMS FOLDER")
		os.Exit(notRun)
	}
	cases := map[string]func(*bed) (bool, error){
		"changes":     changes,
		"descriptors": descriptors,
		"early":       early,
		"replacement": replacement,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}

// runCase runs a case and returns its exit status.
func runCase(run func(*bed) (bool, error), programs, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.close()
	trouble, err := strconv.ParseBool(os.Getenv("TROUBLE"))
	if err != nil {
		trouble = true
	}
	b, err := newBed(programs, trouble, record)
	if err != nil {
		record.line("the case couldn't run: %v", err)
		return notRun
	}
	defer b.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		b.close()
		os.Exit(notRun)
	}()
	ruleBroken, err := run(b)
	switch {
	case err != nil:
		record.line("the case couldn't run: %v", err)
		return notRun
	case ruleBroken:
		record.line("the rule was broken")
		return broken
	}
	record.line("the rule held")
	return held
}
