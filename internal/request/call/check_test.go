package call

import (
	"fmt"
	"strings"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// check compares the results of the callers with the arrivals at the targets.
func (r *historyRun) check() {
	for payload, results := range r.results {
		r.checkPayload(payload, results)
	}
	for key := range r.keys {
		arrivals := r.cluster.arrivals(fmt.Sprintf("key %d body 0", key)) + r.cluster.arrivals(fmt.Sprintf("key %d body 1", key))
		if arrivals > 1 {
			r.violation("key %d arrived %d times", key, arrivals)
		}
	}
}

// checkPayload checks the results of the calls with one payload. Calls with the same
// payload have the same key.
func (r *historyRun) checkPayload(payload string, results []result) {
	arrivals := r.cluster.arrivals(payload)
	if arrivals > 1 && payload[0] != 'l' {
		r.violation("%q arrived %d times", payload, arrivals)
	}
	response := ""
	for _, res := range results {
		if res.kind != "" {
			if res.ran == chicoryv1.Ran_RAN_NOT_RUN && arrivals > 0 {
				r.violation("%q: reported as not run (%s), but arrived %d times", payload, res.kind, arrivals)
			}
			if res.ran == chicoryv1.Ran_RAN_RAN && arrivals == 0 {
				r.violation("%q: reported as run (%s), but never arrived", payload, res.kind)
			}
			continue
		}
		if arrivals == 0 || !strings.Contains(res.response, payload+" run") {
			r.violation("%q: got response %q, but arrived %d times", payload, res.response, arrivals)
		}
		if response != "" && response != res.response {
			r.violation("%q: got different responses %q and %q", payload, response, res.response)
		}
		response = res.response
	}
}

func (r *historyRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}
