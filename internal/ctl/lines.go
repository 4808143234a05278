package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// line is a line of the path of a request.
type line struct {
	logging.Line
	// OfRequest lines are the request's own; the others tell what its VM came to believe
	// meanwhile.
	OfRequest bool `json:"of_request"`
}

// text is the line for people: when it was after begin, where, what.
func (l line) text(begin time.Time) string {
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

// beliefTime is how long before a request lines of its VM may explain it: lists and
// feeds are taken for lost after some seconds.
const beliefTime = 5 * time.Second

// pathOf returns the lines that explain a request, in their order: its own, and those of
// its VMs that change what they believe, from a while before it to its end. It is empty
// if no line names the request.
func pathOf(request string, lines []logging.Line) []line {
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
	var path []line
	for _, l := range lines {
		ofRequest := l.Request() == request
		belief := l.Request() == "" && vms[l.VM] && !l.Time.Before(first.Add(-beliefTime)) && !l.Time.After(last)
		if ofRequest || belief {
			path = append(path, line{l, ofRequest})
		}
	}
	slices.SortStableFunc(path, func(a, b line) int { return a.Time.Compare(b.Time) })
	return path
}
