// Command moves measures the policies that decide moves. It draws random good and bad
// versions, runs the production decisions on them in virtual time, and prints the
// outcomes by kind of version and by traffic level, and one line for each goal.
//
// SEED sets the random seed and BENCH_SECONDS the approximate duration of the run.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

const (
	defaultSeed = 1
	// versionsPerKind is the number of versions of each kind in a run of
	// defaultSeconds.
	versionsPerKind = 1000
	defaultSeconds  = 60
	// gcPercent makes garbage collections rare, as simulated moves allocate much
	// short-lived memory.
	gcPercent = 800
)

func main() {
	debug.SetGCPercent(gcPercent)
	seed := envInt("SEED", defaultSeed)
	versions := versionsPerKind * max(envInt("BENCH_SECONDS", defaultSeconds), 1) / defaultSeconds
	fmt.Printf("bench-moves: seed %d, %d drawn versions per kind, each with every policy\n", seed, versions)
	fmt.Println("windows: 1/s 8 h, 10/s 2 h, 100/s 20 min, 1000/s 10 min; limits: errors +2%, latency 1.5 times; default caps")
	start := time.Now()
	var production []outcome
	for _, p := range []policy.Policy{policy.Naive{}, policy.Bayes{}, policy.SPRT{}} {
		outcomes := runAll(p, versions, uint64(seed))
		printTables(os.Stdout, p.Name(), outcomes)
		if p.Name() == (policy.SPRT{}).Name() {
			production = outcomes
		}
	}
	fmt.Printf("took %.0f s\n", time.Since(start).Seconds())
	printGoals(os.Stdout, production)
}

// envInt returns an integer from the environment, or defaultValue if there is none.
func envInt(name string, defaultValue int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return defaultValue
	}
	return n
}
