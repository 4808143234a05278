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
// name it, the lines of its VMs that name no request, from traceLookback before its first
// line to its last, and earlier ones that say which paths to targets were still lost then.
// It is empty if no line names the request.
func traceRequest(request string, lines []logging.Line) []traceLine {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b logging.Line) int { return a.Time.Compare(b.Time) })
	span := newRequestSpan(request, lines)
	var earlier []logging.Line
	var trace []traceLine
	for _, l := range lines {
		switch ofVM := l.Request() == "" && span.vms[l.VM]; {
		case l.Request() == request:
			trace = append(trace, traceLine{l, true})
		case ofVM && l.Time.Before(span.from):
			earlier = append(earlier, l)
		case ofVM && !l.Time.After(span.to):
			trace = append(trace, traceLine{l, false})
		}
	}
	var lost []traceLine
	for _, l := range lostPaths(earlier, span.targets) {
		lost = append(lost, traceLine{l, false})
	}
	return append(lost, trace...)
}

// requestSpan is the time in which events may explain a request, and the VMs and targets that its
// lines name.
type requestSpan struct {
	from, to     time.Time
	vms, targets map[string]bool
}

// newRequestSpan returns the span of a request. The lines are ordered by time.
func newRequestSpan(request string, lines []logging.Line) requestSpan {
	span := requestSpan{vms: map[string]bool{}, targets: map[string]bool{}}
	for _, l := range lines {
		if l.Request() != request {
			continue
		}
		if len(span.vms) == 0 {
			span.from = l.Time.Add(-traceLookback)
		}
		span.to = l.Time
		span.vms[l.VM], span.targets[l.Fields["target"]] = true, true
	}
	return span
}

// lostPaths returns those of the lines that say that a VM is cut off, or that its path to one of
// the targets is lost, and that no later line of the VM revokes. The lines are ordered by time.
func lostPaths(lines []logging.Line, targets map[string]bool) []logging.Line {
	var lost []logging.Line
	for _, l := range lines {
		switch l.Event {
		case logging.TargetsCutOff:
			lost = append(lost, l)
		case logging.TargetPathLost:
			if targets[l.Fields["target"]] {
				lost = append(lost, l)
			}
		case logging.TargetPathFound:
			lost = slices.DeleteFunc(lost, func(o logging.Line) bool {
				return o.VM == l.VM && o.Event == logging.TargetPathLost && o.Fields["target"] == l.Fields["target"]
			})
		case logging.TargetsReached, logging.ProcessStarted:
			lost = slices.DeleteFunc(lost, func(o logging.Line) bool { return o.VM == l.VM })
		}
	}
	return lost
}
