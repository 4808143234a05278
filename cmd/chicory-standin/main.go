// Command chicory-standin runs simulated targets for tests and the demo: each
// address is one replica that is both a model engine and a transactional service.
// Its other commands inject faults, count received calls and check generated texts.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
)

func main() {
	root := &ffcli.Command{
		Name:        "chicory-standin",
		ShortUsage:  "chicory-standin <serve|fault|arrivals|check-text> [flags]",
		ShortHelp:   "Simulated targets for tests and the demo.",
		FlagSet:     flag.NewFlagSet("chicory-standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{serveCommand(), faultCommand(), arrivalsCommand(), checkTextCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "chicory-standin:", err)
		os.Exit(exitError)
	}
}
