// Command control measures the replicated log and the control processes: three
// replicas in one process, over QUIC on loopback, with their files on the disk
// under -data. It prints each figure once it is measured and, at the end, one line
// for each goal.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// defaultSeconds is the nominal duration of a run, in seconds.
const defaultSeconds = 60

// goal is a measured figure and the limit that it has to meet.
type goal struct {
	name     string
	measured string
	limit    string
	met      bool
}

func (g goal) String() string {
	verdict := "missed"
	if g.met {
		verdict = "met"
	}
	return fmt.Sprintf("bar %s measured=%s target=%s %s", g.name, g.measured, g.limit, verdict)
}

// benchmark holds the options of a run and the goals measured so far.
type benchmark struct {
	folder   string        // of data and keys
	duration time.Duration // nominal; the measuring windows are shares of it
	seed     uint64
	goals    []goal
}

// printFigure prints one line of results.
func (b *benchmark) printFigure(format string, args ...any) {
	fmt.Printf("figure "+format+"\n", args...)
}

func main() {
	data := flag.String("data", "", "folder for the files; a temporary one if empty")
	seed := flag.Uint64("seed", 1, "seed of the election timeouts and of the simulated changes")
	flag.Parse()
	if err := runAll(*data, *seed); err != nil {
		fmt.Fprintln(os.Stderr, errors.Details(err))
		os.Exit(1)
	}
}

// runAll runs every measurement with its files in a new folder under data.
func runAll(data string, seed uint64) error {
	folder, err := os.MkdirTemp(data, "bench-control-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	b := &benchmark{folder: folder, duration: runDuration(), seed: seed}
	fmt.Printf("seed %d, %v\n", seed, b.duration)
	for _, measure := range []func(*benchmark) error{
		measureCommitRate, measureFailover, measureIdle, measureRestart, measureConfigurationChanges, measureClaims, measureConflicts,
	} {
		if err := measure(b); err != nil {
			return errors.Trace(err)
		}
	}
	for _, g := range b.goals {
		fmt.Println(g)
	}
	return nil
}

// runDuration returns the nominal duration from BENCH_SECONDS, or the default if it
// is not a positive number.
func runDuration() time.Duration {
	n, err := strconv.Atoi(os.Getenv("BENCH_SECONDS"))
	if err != nil || n <= 0 {
		n = defaultSeconds
	}
	return time.Duration(n) * time.Second
}
