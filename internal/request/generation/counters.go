package generation

import metrics "github.com/rcrowley/go-metrics"

// counters are the service's metrics.
type counters struct {
	// open is the number of generations that are streamed now.
	open metrics.Counter
	// reattached counts streams that went on with the same attempt.
	reattached metrics.Counter
	// restarted counts attempts that were started with a prefix elsewhere.
	restarted metrics.Counter
	// returned counts callers that came back with a resume token.
	returned metrics.Counter
	// dropped counts chunks of older attempts, other generations or wrong content.
	dropped metrics.Counter
	// silences counts streams that were silent beyond their bound, and falseAlarms
	// those of them whose engine and connection were well.
	silences    metrics.Counter
	falseAlarms metrics.Counter
	// slowRestarts counts attempts given up although their engine was alive.
	slowRestarts metrics.Counter
	// interrupted counts generations that were given up with the advice to come back.
	interrupted metrics.Counter
	// cancelled counts cancellations that engines confirmed.
	cancelled metrics.Counter
	// prefilled counts prefix tokens that were sent to an engine again.
	prefilled metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("generation."+name, r)
	}
	return &counters{
		open:         c("open"),
		reattached:   c("reattached"),
		restarted:    c("restarted"),
		returned:     c("returned"),
		dropped:      c("chunks_dropped"),
		silences:     c("silences"),
		falseAlarms:  c("false_alarms"),
		slowRestarts: c("slow_restarts"),
		interrupted:  c("interrupted"),
		cancelled:    c("cancelled_at_engine"),
		prefilled:    c("prefix_tokens_sent"),
	}
}
