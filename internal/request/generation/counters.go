package generation

import metrics "github.com/rcrowley/go-metrics"

// counters are the service's metrics.
type counters struct {
	// open is the number of generations being streamed.
	open metrics.Counter
	// reattached counts lost streams that continued the same attempt on a new connection.
	reattached metrics.Counter
	// restarted counts attempts started on another target with the prompt and the prefix.
	restarted metrics.Counter
	// returned counts callers that resumed with a resume token.
	returned metrics.Counter
	// dropped counts chunks that belong to another attempt or generation, or whose
	// content is invalid.
	dropped metrics.Counter
	// silences counts streams that sent nothing within the silence timeout, and
	// falseAlarms those whose engine and connection turned out to be healthy.
	silences    metrics.Counter
	falseAlarms metrics.Counter
	// slowRestarts counts attempts given up although their engine was responsive.
	slowRestarts metrics.Counter
	// interrupted counts generations that ended here with an error that tells the
	// caller when to retry.
	interrupted metrics.Counter
	// cancelled counts cancellations that engines confirmed.
	cancelled metrics.Counter
	// prefilled counts prefix tokens that were sent to another engine for a new prefill.
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
