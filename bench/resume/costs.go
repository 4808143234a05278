package main

import (
	"fmt"
	"runtime"
	"slices"
	"time"
)

// Limits of the cost when nothing fails.
const (
	maxExtraBytesPerTokenByte   = 1.5     // bytes per token byte
	maxExtraMemoryPerGeneration = 8 << 10 // bytes per open generation
	minThroughputShare          = 0.8     // share of the forwarder's tokens per second and core
)

// measureCosts measures all hops and recovery strategies one after the other, prints the
// results and returns the criteria of the default strategy.
func measureCosts(o costOptions) ([]criterion, error) {
	// A single thread avoids the CPU time of idle threads that look for work.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	hops := []struct {
		hop      hop
		strategy strategy
	}{{hopDirect, strategyResupply}, {hopForwarder, strategyResupply}, {hopRouter, strategyResupply}}
	rounds := make([][]resourceUsage, len(hops))
	for range o.rounds {
		for i, h := range hops {
			u, err := runCost(h.hop, h.strategy, o)
			if err != nil {
				return nil, err
			}
			rounds[i] = append(rounds[i], u)
		}
	}
	direct, forwarder, router := aggregate(rounds[0]), aggregate(rounds[1]), aggregate(rounds[2])
	printUsage("direct", direct, o)
	printUsage("forwarder", forwarder, o)
	printUsage("router_"+strategyNames[strategyResupply], router, o)
	criteria := compareWithForwarder(strategyResupply, forwarder, router, o)
	for _, s := range []strategy{strategyJournalSync, strategyJournalBatched} {
		u, err := runCost(hopRouter, s, o)
		if err != nil {
			return nil, err
		}
		printUsage("router_"+strategyNames[s], u, o)
		compareWithForwarder(s, forwarder, u, o)
	}
	return criteria, nil
}

// aggregate combines the rounds of one hop into the lowest CPU time and the median
// memory.
func aggregate(rounds []resourceUsage) resourceUsage {
	out := rounds[0]
	cpus, memories := []time.Duration{}, []int64{}
	for _, u := range rounds {
		cpus = append(cpus, u.cpu)
		memories = append(memories, u.memory)
	}
	slices.Sort(cpus)
	slices.Sort(memories)
	// Other load on the machine can only add CPU time, so the lowest value is the best.
	out.cpu, out.memory = cpus[0], memories[len(memories)/2]
	return out
}

func printUsage(name string, u resourceUsage, o costOptions) {
	fmt.Printf("cost hop=%s streams=%d tokens=%d token_bytes=%d caller_wire_bytes=%d journal_bytes=%d cpu_per_token=%v memory_per_stream=%d\n",
		name, o.streams, u.tokens, u.tokenBytes, u.callerBytes, u.journalBytes,
		u.cpu/time.Duration(max(u.tokens, 1)), u.memory/int64(o.streams))
}

// compareWithForwarder prints the additional cost of the router over the forwarder and
// returns the criteria of the default strategy. The CPU ratio is imprecise because all
// components share one process: scripts/bench-hops.sh measures its criterion.
func compareWithForwarder(s strategy, forwarder, u resourceUsage, o costOptions) []criterion {
	perToken := func(x resourceUsage) float64 { return float64(x.cpu) / float64(max(x.tokens, 1)) }
	cpuRatio := perToken(u) / perToken(forwarder)
	// The router keeps the text received so far, which is three quarters of it when
	// memory is measured.
	textBytes := u.tokenBytes * 3 / 4 / int64(o.streams)
	memory := (u.memory-forwarder.memory)/int64(o.streams) - textBytes
	extraCallerBytes := float64(u.callerBytes)/float64(u.tokenBytes) - float64(forwarder.callerBytes)/float64(forwarder.tokenBytes)
	extraJournalBytes := float64(u.journalBytes) / float64(u.tokenBytes)
	proofShare := float64(proofBytes*u.tokens) / float64(u.tokenBytes)
	fmt.Printf("cost way=%s extra_bytes_per_token_byte: caller_wire_against_forwarder=%.2f journal=%.2f proof=%.2f; extra_memory_per_generation=%d (text %d); cpu_of_all_parts_against_forwarder=%.2f\n",
		strategyNames[s], extraCallerBytes, extraJournalBytes, proofShare, memory, textBytes, cpuRatio)
	if s != strategyResupply {
		return nil
	}
	total := max(extraCallerBytes, proofShare) + extraJournalBytes
	return []criterion{
		{"extra_network_bytes_per_token_byte", fmt.Sprintf("%.2f", total), "1.50", total <= maxExtraBytesPerTokenByte},
		{"extra_memory_per_generation", fmt.Sprint(memory), fmt.Sprint(maxExtraMemoryPerGeneration), memory <= maxExtraMemoryPerGeneration},
	}
}

// proofBytes is the encoded size of a chunk's proof, including its field tag.
const proofBytes = 5
