// Command resume measures how generations recover from failures and what resumption
// costs when nothing fails. The engines are stand-ins; the routers run the production
// code in this process. A plain net/http forwarder is measured in the same run as the
// baseline.
//
// BENCH_SECONDS is the approximate run time; the default is 45.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"strconv"
	"time"
)

const (
	defaultSeconds = 45
	tokenGap       = 37 * time.Millisecond
	// maxConcurrentFailures limits how many failures are measured at the same time.
	maxConcurrentFailures = 16
	// costRounds is how many times each hop is measured.
	costRounds = 3
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the stand-in engines")
	part := flag.String("part", "all", "all, losses, cost, alarms or placement")
	profile := flag.String("cpuprofile", "", "write a CPU profile to this file")
	role := flag.String("role", "", "engine, hops or callers; see scripts/bench-hops.sh")
	var addresses hopAddresses
	flag.StringVar(&addresses.engine, "engine", "", "address of the process with the role engine")
	flag.StringVar(&addresses.forwarder, "forwarder", "", "address of the plain forwarder")
	flag.StringVar(&addresses.router, "router", "", "address of the router")
	flag.StringVar(&addresses.cpu, "cpu", "", "address that serves the CPU time of the process with the role hops")
	flag.Parse()
	if *role != "" {
		o := costOptions{streams: 50, tokens: 300, tokenGap: 5 * time.Millisecond, seed: *seed, rounds: costRounds * scale()}
		if err := runRole(*role, addresses, o); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if *profile != "" {
		f, err := os.Create(*profile)
		if err == nil {
			err = pprof.StartCPUProfile(f)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		defer pprof.StopCPUProfile()
	}
	if err := run(*seed, *part); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// scale returns the factor by which BENCH_SECONDS exceeds the default, at least 1.
func scale() int {
	seconds, err := strconv.Atoi(os.Getenv("BENCH_SECONDS"))
	if err != nil || seconds < defaultSeconds {
		return 1
	}
	return seconds / defaultSeconds
}

func run(seed uint64, part string) error {
	n := scale()
	fmt.Printf("bench resume seed=%d scale=%d token_gap=%v\n", seed, n, tokenGap)
	var criteria []criterion
	o := failureOptions{generations: 24, tokens: 70, tokenGap: tokenGap, injectAfter: 1100 * time.Millisecond, seed: seed}
	if part == "all" || part == "losses" {
		rounds := [][]failureResult{}
		for i := range n {
			o.seed = seed + uint64(1000*i)
			rounds = append(rounds, runFailures(o, maxConcurrentFailures))
		}
		criteria = append(criteria, printFailures(mergeRounds(rounds))...)
	}
	o.seed = seed
	if part == "all" || part == "placement" {
		placements, err := measurePlacement(o)
		if err != nil {
			return err
		}
		printPlacements(placements, o)
	}
	if part == "all" || part == "alarms" {
		results, err := measureSilenceDetection(failureOptions{generations: 16, tokens: 40, tokenGap: tokenGap, injectAfter: 800 * time.Millisecond, seed: seed})
		if err != nil {
			return err
		}
		printSilenceResults(results)
	}
	if part == "all" || part == "cost" {
		c, err := measureCosts(costOptions{streams: 50, tokens: 300, tokenGap: 5 * time.Millisecond, seed: seed, rounds: costRounds * n})
		if err != nil {
			return err
		}
		criteria = append(criteria, c...)
	}
	for _, c := range criteria {
		fmt.Println(c)
	}
	return nil
}
