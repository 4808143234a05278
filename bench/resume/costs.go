package main

import (
	"fmt"
	"runtime"
	"slices"
	"time"
)

// Bars of the cost while nothing fails.
const (
	maxExtraBytes   = 1.5     // bytes a token byte
	maxExtraMemory  = 8 << 10 // bytes an open generation
	minForwardShare = 0.8     // of the forwarder's tokens a second per core
)

// runCosts measures all hops and ways one after the other, prints them and
// returns the bars of the default way.
func runCosts(o costOptions) ([]bar, error) {
	// One thread runs all, so that idle threads that look for work don't count.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	hops := []struct {
		hop hop
		way way
	}{{hopDirect, wayResupply}, {hopForwarder, wayResupply}, {hopRouter, wayResupply}}
	measured := make([][]usage, len(hops))
	for range o.rounds {
		for i, h := range hops {
			u, err := runCost(h.hop, h.way, o)
			if err != nil {
				return nil, err
			}
			measured[i] = append(measured[i], u)
		}
	}
	direct, forward, router := typical(measured[0]), typical(measured[1]), typical(measured[2])
	printUsage("direct", direct, o)
	printUsage("forwarder", forward, o)
	printUsage("router_"+wayNames[wayResupply], router, o)
	bars := compare(wayResupply, forward, router, o)
	for _, w := range []way{wayJournalSync, wayJournalBatched} {
		u, err := runCost(hopRouter, w, o)
		if err != nil {
			return nil, err
		}
		printUsage("router_"+wayNames[w], u, o)
		compare(w, forward, u, o)
	}
	return bars, nil
}

// typical returns the usage with the least processor time and the median memory.
func typical(list []usage) usage {
	out := list[0]
	cpus, memories := []time.Duration{}, []int64{}
	for _, u := range list {
		cpus = append(cpus, u.cpu)
		memories = append(memories, u.memory)
	}
	slices.Sort(cpus)
	slices.Sort(memories)
	// Other work on the machine only adds processor time, so the least counts.
	out.cpu, out.memory = cpus[0], memories[len(memories)/2]
	return out
}

func printUsage(name string, u usage, o costOptions) {
	fmt.Printf("cost hop=%s streams=%d tokens=%d token_bytes=%d caller_wire_bytes=%d journal_bytes=%d cpu_per_token=%v memory_per_stream=%d\n",
		name, o.streams, u.tokens, u.tokenBytes, u.wire, u.journal,
		u.cpu/time.Duration(max(u.tokens, 1)), u.memory/int64(o.streams))
}

// compare prints what the router costs beyond the forwarder. The shares of
// processor time are those of all parts in one process, and coarse: the bar is
// measured by scripts/bench-hops.sh.
func compare(w way, forward, u usage, o costOptions) []bar {
	perToken := func(x usage) float64 { return float64(x.cpu) / float64(max(x.tokens, 1)) }
	share := perToken(u) / perToken(forward)
	// All of the text at the time of reading, three quarters of it, is kept.
	text := u.tokenBytes * 3 / 4 / int64(o.streams)
	memory := (u.memory-forward.memory)/int64(o.streams) - text
	more := float64(u.wire)/float64(u.tokenBytes) - float64(forward.wire)/float64(forward.tokenBytes)
	extra := float64(u.journal) / float64(u.tokenBytes)
	proof := float64(proofBytes*u.tokens) / float64(u.tokenBytes)
	fmt.Printf("cost way=%s extra_bytes_per_token_byte: caller_wire_against_forwarder=%.2f journal=%.2f proof=%.2f; extra_memory_per_generation=%d (text %d); cpu_of_all_parts_against_forwarder=%.2f\n",
		wayNames[w], more, extra, proof, memory, text, share)
	if w != wayResupply {
		return nil
	}
	total := max(more, proof) + extra
	return []bar{
		{"extra_network_bytes_per_token_byte", fmt.Sprintf("%.2f", total), "1.50", total <= maxExtraBytes},
		{"extra_memory_per_generation", fmt.Sprint(memory), fmt.Sprint(maxExtraMemory), memory <= maxExtraMemory},
	}
}

// proofBytes is the size of a chunk's proof with its field number.
const proofBytes = 5
