package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// traceLine is a log line in the trace of a request.
type traceLine struct {
	logging.Line
	// OfRequest says whether the line names the request. The other lines are events of
	// its VM that name no request.
	OfRequest bool `json:"of_request"`
}

// format returns the line as text: the time since begin, the VM, the event and its fields.
func (l traceLine) format(begin time.Time) string {
	mark := " "
	if !l.OfRequest {
		mark = "~"
	}
	text := fmt.Sprintf("%s %+8.3fs %s %s", mark, l.Time.Sub(begin).Seconds(), l.VM, l.Event)
	for _, key := range l.Keys {
		if key != "request" {
			text += fmt.Sprintf(" %s=%s", key, quoteIfNeeded(l.Fields[key]))
		}
	}
	return text
}

func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=") {
		return strconv.Quote(value)
	}
	return value
}

// traceLookback is how long before a request an event of its VM may still explain it:
// target lists and feeds are considered lost only after a few seconds.
const traceLookback = 5 * time.Second

// traceRequest returns the lines that explain a request, ordered by time: the lines that
// name it, and the lines of its VMs that name no request, from traceLookback before its
// first line to its last. It is empty if no line names the request.
func traceRequest(request string, lines []logging.Line) []traceLine {
	var first, last time.Time
	vms := map[string]bool{}
	for _, l := range lines {
		if l.Request() != request {
			continue
		}
		if len(vms) == 0 || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		vms[l.VM] = true
	}
	var trace []traceLine
	for _, l := range lines {
		ofRequest := l.Request() == request
		ofVM := l.Request() == "" && vms[l.VM] && !l.Time.Before(first.Add(-traceLookback)) && !l.Time.After(last)
		if ofRequest || ofVM {
			trace = append(trace, traceLine{l, ofRequest})
		}
	}
	slices.SortStableFunc(trace, func(a, b traceLine) int { return a.Time.Compare(b.Time) })
	return trace
}
