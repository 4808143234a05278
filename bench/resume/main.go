// Command resume measures how generations survive losses and what that costs
// while nothing fails. Engines are stand-ins; routers run the production code in
// this process. The bare forwarder on net/http is measured in the same run.
//
// BENCH_SECONDS is about how long it runs; the default is 45.
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
	// cellsAtOnce bounds how many losses are measured at the same time.
	cellsAtOnce = 16
	// costRounds is how often each hop is measured.
	costRounds = 3
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the stand-in engines")
	part := flag.String("part", "all", "all, losses, cost, alarms or placement")
	profile := flag.String("cpuprofile", "", "file for a profile of the processor time")
	role := flag.String("role", "", "engine, hops or callers; see scripts/bench-hops.sh")
	var at hopAddresses
	flag.StringVar(&at.engine, "engine", "", "address of the role engine")
	flag.StringVar(&at.forwarder, "forwarder", "", "address of the bare forwarder")
	flag.StringVar(&at.router, "router", "", "address of the router")
	flag.StringVar(&at.cpu, "cpu", "", "address of the processor time of the role hops")
	flag.Parse()
	if *role != "" {
		o := costOptions{streams: 50, tokens: 300, gap: 5 * time.Millisecond, seed: *seed, rounds: costRounds * scale()}
		if err := runRole(*role, at, o); err != nil {
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

// scale returns how much more is measured than by default, at least 1.
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
	var bars []bar
	o := lossOptions{generations: 24, tokens: 70, gap: tokenGap, at: 1100 * time.Millisecond, seed: seed}
	if part == "all" || part == "losses" {
		rounds := [][]cell{}
		for i := range n {
			o.seed = seed + uint64(1000*i)
			rounds = append(rounds, runLosses(o, cellsAtOnce))
		}
		bars = append(bars, printLosses(merge(rounds))...)
	}
	o.seed = seed
	if part == "all" || part == "placement" {
		p, err := runPlacement(o)
		if err != nil {
			return err
		}
		printPlacement(p, o)
	}
	if part == "all" || part == "alarms" {
		a, err := runAlarms(lossOptions{generations: 16, tokens: 40, gap: tokenGap, at: 800 * time.Millisecond, seed: seed})
		if err != nil {
			return err
		}
		printAlarms(a)
	}
	if part == "all" || part == "cost" {
		b, err := runCosts(costOptions{streams: 50, tokens: 300, gap: 5 * time.Millisecond, seed: seed, rounds: costRounds * n})
		if err != nil {
			return err
		}
		bars = append(bars, b...)
	}
	for _, b := range bars {
		fmt.Println(b)
	}
	return nil
}
