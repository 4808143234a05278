package main

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// criterion is a measured value with the limit that it must meet.
type criterion struct {
	name     string
	measured string
	limit    string
	met      bool
}

// String returns the line that is printed for the criterion.
func (c criterion) String() string {
	verdict := "missed"
	if c.met {
		verdict = "met"
	}
	return fmt.Sprintf("bar %s measured=%s target=%s %s", c.name, c.measured, c.limit, verdict)
}

// quantile returns a quantile, given in percent, of a histogram of microseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond)
}

func maxDuration(h *hdrhistogram.Histogram) time.Duration {
	return (time.Duration(h.Max()) * time.Microsecond).Round(100 * time.Microsecond)
}

// mergeRounds adds up the results of several rounds.
func mergeRounds(rounds [][]failureResult) []failureResult {
	out := rounds[0]
	for _, r := range rounds[1:] {
		for i := range r {
			out[i].latency.Merge(r[i].latency)
			out[i].started += r[i].started
			out[i].resumed += r[i].resumed
			out[i].corrupted += r[i].corrupted
			out[i].prefilledTokens += r[i].prefilledTokens
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

// printFailures prints a line per result and returns the criteria of the default
// strategy.
func printFailures(results []failureResult) []criterion {
	var criteria []criterion
	corrupted := 0
	for _, r := range results {
		if r.err != nil {
			fmt.Printf("loss way=%s kind=%s error=%q\n", strategyNames[r.strategy], r.failure.name, r.err)
			continue
		}
		corrupted += r.corrupted
		fmt.Printf("loss way=%s kind=%s n=%d resumed=%.1f%% p50=%v p99=%v max=%v extra_prefill_tokens_each=%.0f wrong_text=%d errors=%s\n",
			strategyNames[r.strategy], r.failure.name, r.started, 100*float64(r.resumed)/float64(r.started),
			quantile(r.latency, 50), quantile(r.latency, 99), maxDuration(r.latency),
			float64(r.prefilledTokens)/float64(r.started), r.corrupted, listErrors(r.errors))
		if r.strategy == strategyResupply && r.failure.maxRecovery > 0 {
			criteria = append(criteria,
				criterion{"resume_" + r.failure.name, maxDuration(r.latency).String(), r.failure.maxRecovery.String(), maxDuration(r.latency) <= r.failure.maxRecovery},
				criterion{"resumed_share_" + r.failure.name, fmt.Sprintf("%.1f%%", 100*float64(r.resumed)/float64(r.started)), "100%", r.resumed == r.started})
		}
	}
	return append(criteria, criterion{"wrong_texts", fmt.Sprint(corrupted), "0", corrupted == 0})
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

func printPlacements(results []placementResult, o failureOptions) {
	for _, r := range results {
		fmt.Printf("placement resume_at=%s n=%d resumed=%d p50=%v p99=%v extra_prefill_tokens_each=%.0f\n",
			r.name, o.generations, r.resumed, quantile(r.latency, 50), quantile(r.latency, 99),
			float64(r.prefilledTokens)/float64(o.generations))
	}
}

func printSilenceResults(results []silenceResult) {
	for _, r := range results {
		if r.pacing.frozen {
			fmt.Printf("silence bound=%s pace=%s p50=%v p99=%v not_whole=%d\n",
				r.timeout.name, r.pacing.name, quantile(r.latency, 50), quantile(r.latency, 99), r.incomplete)
			continue
		}
		fmt.Printf("silence bound=%s pace=%s tokens=%d alarms=%d false_alarms=%d needless_restarts=%d not_whole=%d\n",
			r.timeout.name, r.pacing.name, r.tokens, r.silences, r.falseAlarms, r.restarts, r.incomplete)
	}
}
