// Command moves measures the policies that decide moves: it draws good and bad
// versions, runs the production decisions on them in virtual time and prints the
// outcomes by kind of badness and by traffic, and one line for each bar.
//
// SEED sets the seed, BENCH_SECONDS how long the run may take in about.
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
	// versionsPerKind are drawn in a run of defaultSeconds.
	versionsPerKind = 1000
	defaultSeconds  = 60
	// gcPercent collects rarely; moves allocate much that is dropped at once.
	gcPercent = 800
)

func main() {
	debug.SetGCPercent(gcPercent)
	seed := number("SEED", defaultSeed)
	versions := versionsPerKind * max(number("BENCH_SECONDS", defaultSeconds), 1) / defaultSeconds
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
	printBars(os.Stdout, production)
}

// number reads a whole number from the environment.
func number(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}
