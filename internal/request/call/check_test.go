package call

import (
	"fmt"
	"strings"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// check compares what callers were told with what arrived.
func (r *historyRun) check() {
	for payload, told := range r.told {
		r.checkBody(payload, told)
	}
	for key := range r.keys {
		both := r.cell.arrivals(fmt.Sprintf("key %d body 0", key)) + r.cell.arrivals(fmt.Sprintf("key %d body 1", key))
		if both > 1 {
			r.report("key %d arrived %d times", key, both)
		}
	}
}

// checkBody checks what was told about one body, which belongs to one key.
func (r *historyRun) checkBody(payload string, told []said) {
	arrived := r.cell.arrivals(payload)
	if arrived > 1 && payload[0] != 'l' {
		r.report("%q arrived %d times", payload, arrived)
	}
	answer := ""
	for _, w := range told {
		if w.kind != "" {
			if w.ran == chicoryv1.Ran_RAN_NOT_RUN && arrived > 0 {
				r.report("%q: told not run (%s), arrived %d times", payload, w.kind, arrived)
			}
			if w.ran == chicoryv1.Ran_RAN_RAN && arrived == 0 {
				r.report("%q: told ran (%s), never arrived", payload, w.kind)
			}
			continue
		}
		if arrived == 0 || !strings.Contains(w.answer, payload+" run") {
			r.report("%q: answered %q, arrived %d times", payload, w.answer, arrived)
		}
		if answer != "" && answer != w.answer {
			r.report("%q: answered %q and %q", payload, answer, w.answer)
		}
		answer = w.answer
	}
}

func (r *historyRun) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = append(r.bad, fmt.Sprintf(format, args...))
}
