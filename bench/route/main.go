// Command route measures how requests are routed, limited and retried, compared with a
// naive router (round robin, unconditional retries, no limits) on the same stand-ins and
// with the same arrivals. Environment: BENCH_SECONDS is the length of the run, SEED seeds
// the random numbers, BENCH_ONLY selects one benchmark: calls, generations or hop.
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

// A run consists of partCount parts of equal length, and of the overhead of starting and
// stopping them. Each part takes at least minPartLength, so a run with a short
// BENCH_SECONDS takes longer than that.
const (
	partCount     = 37
	overhead      = 17 * time.Second
	minPartLength = time.Second
)

// benchmarks lists the benchmarks in the order of a run.
var benchmarks = []struct {
	name string
	run  func(r *report, seed uint64, length time.Duration)
}{
	{"calls", measureCalls},
	{"generations", measureGenerations},
	{"hop", measureHop},
}

func main() {
	seconds := positiveIntFromEnv("BENCH_SECONDS", defaultSeconds)
	seed := uint64(positiveIntFromEnv("SEED", defaultSeed))
	length := max((time.Duration(seconds)*time.Second-overhead)/partCount, minPartLength)
	fmt.Printf("bench-route seed=%d seconds=%d part=%s\n", seed, seconds, length)
	r := &report{}
	for _, b := range benchmarks {
		if only := os.Getenv("BENCH_ONLY"); only == "" || only == b.name {
			b.run(r, seed, length)
		}
	}
	r.print()
}

// positiveIntFromEnv returns the value of an environment variable if it is a positive
// integer, otherwise fallback.
func positiveIntFromEnv(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil || n <= 0 {
		return fallback
	}
	return n
}
