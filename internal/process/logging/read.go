package logging

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes bounds one line of a log; reasons may be long.
const maxLineBytes = 1 << 20

// Fields that every line has.
const (
	fieldTime  = "time"
	fieldEvent = "event"
	fieldVM    = "id"
	// fieldRequest is on all lines of a request.
	fieldRequest = "request"
)

// Line is one line that a Logger wrote.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event Event     `json:"event"`
	// Fields has what the event's own pairs say.
	Fields map[string]string `json:"fields"`
	// Keys are the names of Fields in their order.
	Keys []string `json:"-"`
}

// Request returns the id of the request that the line is about, empty for none.
func (l Line) Request() string { return l.Fields[fieldRequest] }

// parseLine reads a line of key=value pairs. It reports false for one that is none of
// ours.
func parseLine(text string) (Line, bool) {
	l := Line{Fields: map[string]string{}}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return Line{}, false
		}
		var value string
		if value, text, ok = cutValue(rest); !ok {
			return Line{}, false
		}
		if err := l.take(key, value); err != nil {
			return Line{}, false
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

func (l *Line) take(key, value string) (err error) {
	switch key {
	case fieldTime:
		l.Time, err = time.Parse(time.RFC3339Nano, value)
	case fieldEvent:
		l.Event = Event(value)
	case fieldVM:
		l.VM = value
	case "level", "role":
	default:
		l.Fields[key] = value
		l.Keys = append(l.Keys, key)
	}
	return errors.Trace(err)
}

// ReadLines reads the lines of a log. What is none of ours is left out.
func ReadLines(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Trace(scanner.Err())
}
