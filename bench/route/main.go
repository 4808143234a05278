// Command route measures how requests are routed, limited and retried, beside a
// naive router (round robin, plain retries, no limits) on the same stand-ins with
// the same arrivals. Environment: BENCH_SECONDS is the length of the run, SEED
// starts the random numbers, BENCH_ONLY names one part: calls, generations or hop.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// Defaults of the environment.
const (
	defaultSeconds = 58
	defaultSeed    = 1
)

// A run has parts equally long measurements, and overhead for starting and ending
// them. A short run is longer than BENCH_SECONDS says.
const (
	parts    = 37
	overhead = 17 * time.Second
	minPart  = time.Second
)

// measurements are the parts of a run.
var measurements = []struct {
	name string
	run  func(r *report, seed uint64, length time.Duration)
}{
	{"calls", measureCalls},
	{"generations", measureGenerations},
	{"hop", measureHop},
}

func main() {
	seconds := fromEnv("BENCH_SECONDS", defaultSeconds)
	seed := uint64(fromEnv("SEED", defaultSeed))
	length := max((time.Duration(seconds)*time.Second-overhead)/parts, minPart)
	fmt.Printf("bench-route seed=%d seconds=%d part=%s\n", seed, seconds, length)
	r := &report{}
	for _, m := range measurements {
		if only := os.Getenv("BENCH_ONLY"); only == "" || only == m.name {
			m.run(r, seed, length)
		}
	}
	r.print()
}

// fromEnv returns a positive number from the environment, or fallback.
func fromEnv(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil || n <= 0 {
		return fallback
	}
	return n
}
