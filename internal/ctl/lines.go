package ctl

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Fields that every line has.
const (
	fieldTime  = "time"
	fieldEvent = "event"
	fieldVM    = "id"
	// fieldRequest is on all lines of a request.
	fieldRequest = "request"
)

// line is one line of a process's log.
type line struct {
	Time   time.Time         `json:"time"`
	VM     string            `json:"vm"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// OfRequest lines are the request's own; the others tell what its VM came to believe
	// meanwhile.
	OfRequest bool `json:"of_request"`
	// keys are the names of Fields in their order.
	keys []string
}

// parseLine reads a line of key=value pairs. It reports false for one that is none of
// ours.
func parseLine(text string) (line, bool) {
	l := line{Fields: map[string]string{}}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return line{}, false
		}
		var value string
		if value, text, ok = cutValue(rest); !ok {
			return line{}, false
		}
		if err := l.take(key, value); err != nil {
			return line{}, false
		}
	}
	return l, l.Event != "" && !l.Time.IsZero()
}

// cutValue takes a bare or quoted value off the text.
func cutValue(text string) (value, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err == nil
}

func (l *line) take(key, value string) (err error) {
	switch key {
	case fieldTime:
		l.Time, err = time.Parse(time.RFC3339Nano, value)
	case fieldEvent:
		l.Event = value
	case fieldVM:
		l.VM = value
	case "level", "role":
	default:
		l.Fields[key] = value
		l.keys = append(l.keys, key)
	}
	return errors.Trace(err)
}

// text is the line for people: when it was after begin, where, what.
func (l line) text(begin time.Time) string {
	mark := " "
	if !l.OfRequest {
		mark = "~"
	}
	text := fmt.Sprintf("%s %+8.3fs %s %s", mark, l.Time.Sub(begin).Seconds(), l.VM, l.Event)
	for _, key := range l.keys {
		if key != fieldRequest {
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

const (
	// maxLineBytes bounds one line of a log; reasons may be long.
	maxLineBytes = 1 << 20
	// beliefTime is how long before a request lines of its VM may explain it: lists and
	// feeds are taken for lost after some seconds.
	beliefTime = 5 * time.Second
)

// readLines reads the lines of a log. What is none of ours is left out.
func readLines(r io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Trace(scanner.Err())
}

// pathOf returns the lines that explain a request, in their order: its own, and those of
// its VMs that change what they believe, from a while before it to its end. It is empty
// if no line names the request.
func pathOf(request string, lines []line) []line {
	var first, last time.Time
	vms := map[string]bool{}
	for _, l := range lines {
		if l.Fields[fieldRequest] != request {
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
		other, ofAny := l.Fields[fieldRequest]
		l.OfRequest = ofAny && other == request
		belief := !ofAny && vms[l.VM] && !l.Time.Before(first.Add(-beliefTime)) && !l.Time.After(last)
		if l.OfRequest || belief {
			path = append(path, l)
		}
	}
	slices.SortStableFunc(path, func(a, b line) int { return a.Time.Compare(b.Time) })
	return path
}
