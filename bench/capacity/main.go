// Command capacity measures the slopes from which docs/CAPACITY.md is worked out:
// what one more router, team, claim, target, open generation or token costs. Each
// slope has at least three points, a straight fit and its spread. It uses the
// product's own code with small stand-ins in this process, on loopback.
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
	out := flag.String("out", "", "folder for capacity.csv and capacity.png")
	flag.Parse()
	if err := run(*out); err != nil {
		fmt.Fprintln(os.Stderr, errors.ErrorStack(err))
		os.Exit(1)
	}
}

// measurement adds its slopes to the report.
type measurement func(*report) error

func run(out string) error {
	fmt.Printf("capacity on %s/%s, %d processors, %s, %s\n",
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version(), time.Now().UTC().Format(time.DateOnly))
	r := &report{}
	for _, m := range []measurement{
		measureConfiguration, measureLedger, measureEvidence, measureRouting,
		measureAdmission, measureTeamLimits, measureObservation, measureGenerations, measureFanOut,
	} {
		if err := m(r); err != nil {
			return errors.Trace(err)
		}
	}
	r.print(os.Stdout)
	if out == "" {
		return nil
	}
	return errors.Trace(r.write(out))
}
