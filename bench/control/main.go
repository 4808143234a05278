// Command control measures the replicated log of the control VMs: three
// replicas in one process, over QUIC on loopback, with their files on the disk
// under -data. It prints its figures as it goes and one line for each bar at
// its end.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// defaultSeconds is the length of a whole run, in seconds.
const defaultSeconds = 60

// bar is one measured figure with its target.
type bar struct {
	name     string
	measured string
	target   string
	met      bool
}

func (b bar) String() string {
	verdict := "missed"
	if b.met {
		verdict = "met"
	}
	return fmt.Sprintf("bar %s measured=%s target=%s %s", b.name, b.measured, b.target, verdict)
}

// run is what the parts of the benchmark share.
type run struct {
	folder string        // for data and keys
	length time.Duration // of the whole run
	seed   uint64
	bars   []bar
}

func (r *run) figure(format string, args ...any) {
	fmt.Printf("figure "+format+"\n", args...)
}

func main() {
	data := flag.String("data", "", "folder for the files; a temporary one if empty")
	seed := flag.Uint64("seed", 1, "seed of the election timeouts")
	flag.Parse()
	if err := measure(*data, *seed); err != nil {
		fmt.Fprintln(os.Stderr, errors.Details(err))
		os.Exit(1)
	}
}

func measure(data string, seed uint64) error {
	folder, err := os.MkdirTemp(data, "bench-control-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	r := &run{folder: folder, length: seconds(), seed: seed}
	fmt.Printf("seed %d, %v\n", seed, r.length)
	for _, part := range []func(*run) error{
		measureCommitRate, measureFailover, measureIdle, measureRestart, measureForce, measureClaims, measureConflicts,
	} {
		if err := part(r); err != nil {
			return errors.Trace(err)
		}
	}
	for _, b := range r.bars {
		fmt.Println(b)
	}
	return nil
}

// seconds returns the length of the run from BENCH_SECONDS.
func seconds() time.Duration {
	n, err := strconv.Atoi(os.Getenv("BENCH_SECONDS"))
	if err != nil || n <= 0 {
		n = defaultSeconds
	}
	return time.Duration(n) * time.Second
}
