package main

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// bar is one line that says whether a target was met.
type bar struct {
	name     string
	measured string
	target   string
	met      bool
}

// String returns the line.
func (b bar) String() string {
	verdict := "missed"
	if b.met {
		verdict = "met"
	}
	return fmt.Sprintf("bar %s measured=%s target=%s %s", b.name, b.measured, b.target, verdict)
}

// quantile returns a quantile of a histogram of microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
}

func maximum(h *hdrhistogram.Histogram) time.Duration {
	return (time.Duration(h.Max()) * time.Microsecond).Round(100 * time.Microsecond)
}

// merge sums the cells of several rounds.
func merge(rounds [][]cell) []cell {
	out := rounds[0]
	for _, r := range rounds[1:] {
		for i := range r {
			out[i].latency.Merge(r[i].latency)
			out[i].started += r[i].started
			out[i].resumed += r[i].resumed
			out[i].wrong += r[i].wrong
			out[i].prefilled += r[i].prefilled
			for k, n := range r[i].errors {
				out[i].errors[k] += n
			}
			if r[i].err != nil {
				out[i].err = r[i].err
			}
		}
	}
	return out
}

// printLosses prints one line for each cell and returns the bars of the default way.
func printLosses(cells []cell) []bar {
	var bars []bar
	wrong := 0
	for _, c := range cells {
		if c.err != nil {
			fmt.Printf("loss way=%s kind=%s error=%q\n", wayNames[c.way], c.loss.name, c.err)
			continue
		}
		wrong += c.wrong
		fmt.Printf("loss way=%s kind=%s n=%d resumed=%.1f%% p50=%v p99=%v max=%v extra_prefill_tokens_each=%.0f wrong_text=%d errors=%s\n",
			wayNames[c.way], c.loss.name, c.started, 100*float64(c.resumed)/float64(c.started),
			quantile(c.latency, 50), quantile(c.latency, 99), maximum(c.latency),
			float64(c.prefilled)/float64(c.started), c.wrong, listErrors(c.errors))
		if c.way == wayResupply && c.loss.bound > 0 {
			bars = append(bars,
				bar{"resume_" + c.loss.name, maximum(c.latency).String(), c.loss.bound.String(), maximum(c.latency) <= c.loss.bound},
				bar{"resumed_share_" + c.loss.name, fmt.Sprintf("%.1f%%", 100*float64(c.resumed)/float64(c.started)), "100%", c.resumed == c.started})
		}
	}
	return append(bars, bar{"wrong_texts", fmt.Sprint(wrong), "0", wrong == 0})
}

func listErrors(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var list []string
	for k, n := range m {
		list = append(list, fmt.Sprintf("%s:%d", k, n))
	}
	sort.Strings(list)
	return strings.Join(list, ",")
}

func printPlacement(list []placed, o lossOptions) {
	for _, p := range list {
		fmt.Printf("placement resume_at=%s n=%d resumed=%d p50=%v p99=%v extra_prefill_tokens_each=%.0f\n",
			p.name, o.generations, p.resumed, quantile(p.latency, 50), quantile(p.latency, 99),
			float64(p.prefilled)/float64(o.generations))
	}
}

func printAlarms(list []alarms) {
	for _, a := range list {
		if a.pace.frozen {
			fmt.Printf("silence bound=%s pace=%s p50=%v p99=%v not_whole=%d\n",
				a.bound.name, a.pace.name, quantile(a.latency, 50), quantile(a.latency, 99), a.wrong)
			continue
		}
		fmt.Printf("silence bound=%s pace=%s tokens=%d alarms=%d false_alarms=%d needless_restarts=%d not_whole=%d\n",
			a.bound.name, a.pace.name, a.tokens, a.silences, a.false_, a.restarts, a.wrong)
	}
}
