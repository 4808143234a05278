package logging

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes is the maximum length of one log line; reason fields can be long.
const maxLineBytes = 1 << 20

// Keys of the fields that every line has.
const (
	fieldTime  = "time"
	fieldEvent = "event"
	fieldVM    = "id"
	// fieldRequest is set on all lines about a request.
	fieldRequest = "request"
)

// Line is one parsed line of a Logger.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event Event     `json:"event"`
	// Fields holds the remaining key=value pairs.
	Fields map[string]string `json:"fields"`
	// Keys are the keys of Fields in the order of the line.
	Keys []string `json:"-"`
}

// Request returns the id of the request that the line is about, or "" if there is none.
func (l Line) Request() string { return l.Fields[fieldRequest] }

// parseLine parses a line of key=value pairs. It reports false for a line that no
// Logger wrote.
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
		if err := l.setField(key, value); err != nil {
			return Line{}, false
		}
	}
	return l, l.Event != "" && !l.Time.IsZero()
}

// cutValue splits a bare or quoted value off the start of text.
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

// setField stores one key=value pair; level and role are ignored.
func (l *Line) setField(key, value string) (err error) {
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

// ReadLines parses the lines of a log. Lines that no Logger wrote are skipped.
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
