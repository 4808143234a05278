// Command capacity measures the slopes from which docs/CAPACITY.md is calculated:
// the cost of each additional router, team, claim, target, open generation or token.
// For each slope it measures at least three sizes and prints a linear fit with its
// largest residual. It runs the production code against stand-ins in the same
// process, over loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/juju/errors"
)

func main() {
	out := flag.String("out", "", "folder for capacity.csv and capacity.png; if empty, only a table is printed")
	flag.Parse()
	if err := run(*out); err != nil {
		fmt.Fprintln(os.Stderr, errors.ErrorStack(err))
		os.Exit(1)
	}
}

// measurement measures one component and adds its slopes to the report.
type measurement func(*report) error

func run(out string) error {
	fmt.Printf("capacity on %s/%s, %d processors, %s, %s\n",
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version(), time.Now().UTC().Format(time.DateOnly))
	r := &report{}
	for _, measure := range []measurement{
		measureConfiguration, measureLedger, measureEvidence, measureRouting,
		measureAdmission, measureTeamLimits, measureObservation, measureGenerations, measureFanOut,
	} {
		if err := measure(r); err != nil {
			return errors.Trace(err)
		}
	}
	r.print(os.Stdout)
	if out == "" {
		return nil
	}
	return errors.Trace(r.write(out))
}
