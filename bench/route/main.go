// Command route measures how requests are routed, limited and retried, beside a
// naive router (round robin, plain retries, no limits) on the same stand-ins with
// the same arrivals. Environment: BENCH_SECONDS is the length of the run, SEED
// starts the random numbers.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// Defaults of the environment.
const (
	defaultSeconds = 55
	defaultSeed    = 1
)

// parts is the number of equally long measurements in one run.
const parts = 24

func main() {
	seconds := fromEnv("BENCH_SECONDS", defaultSeconds)
	seed := uint64(fromEnv("SEED", defaultSeed))
	length := time.Duration(seconds) * time.Second / parts
	fmt.Printf("bench-route seed=%d seconds=%d part=%s\n", seed, seconds, length)
	r := &report{}
	measureCalls(r, seed, length)
	if os.Getenv("BENCH_ONLY") == "" || os.Getenv("BENCH_ONLY") == "gen" {
		measureGenerations(r, seed, length)
	}
	if os.Getenv("BENCH_ONLY") == "" || os.Getenv("BENCH_ONLY") == "hop" {
		measureHop(r, seed, length)
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
