package exchange

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
)

const (
	// maxEventBytes limits the size of one event; an event of a model has some 100 bytes.
	maxEventBytes = 128 << 10
	// maxUnnumberedBytes limits what a stream sends between two new events: comments,
	// events without an id and events that were relayed before.
	maxUnnumberedBytes = 128 << 10
)

// event is one event of an event stream, with its bytes as received.
type event struct {
	// id is the event's number, or 0 if it has none.
	id int
	// hasData: the event has a field, and not only comments.
	hasData bool
	raw     []byte
}

// eventReader reads the events of a stream.
type eventReader struct {
	source *bufio.Reader
	// afterCR: the last line ended with a CR, and a LF that belongs to it may follow.
	afterCR bool
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReader(source)}
}

// next returns the next event. The error is io.EOF if the stream ended after a complete
// event, io.ErrUnexpectedEOF if it ended within one, or a *http1.LimitError.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		afterCR := r.afterCR
		line, err := r.readLine(len(e.raw))
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		case afterCR && string(line) == "\n" && len(e.raw) > 1:
			continue // the end of the line before
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if err := e.addLine(line); err != nil {
			return event{}, err
		}
	}
}

// readLine returns the next line with its end. before is the number of bytes of the event
// that precede the line. The line is valid until the next call. It does not wait for the LF
// that may follow a CR, as an event would be held back until the next one arrives: such a LF
// is returned as a line of its own.
func (r *eventReader) readLine(before int) ([]byte, error) {
	var long []byte
	for {
		if _, err := r.source.Peek(1); err != nil {
			return long, err
		}
		buffered, _ := r.source.Peek(r.source.Buffered()) // what is buffered needs no read
		n, ended := lineLength(buffered)
		if before+len(long)+n > maxEventBytes {
			return nil, &http1.LimitError{Limit: http1.LimitEvent, Max: maxEventBytes}
		}
		line := buffered[:n]
		if long != nil || !ended {
			long = append(long, line...)
			line = long
		}
		_, _ = r.source.Discard(n) // what is buffered needs no read
		if ended {
			r.afterCR = line[len(line)-1] == '\r'
			return line, nil
		}
	}
}

// lineLength returns the length of the line at the start of b, with its end, and whether b
// holds the end: a LF, a CR or both.
func lineLength(b []byte) (n int, ended bool) {
	i := bytes.IndexAny(b, "\r\n")
	switch {
	case i < 0:
		return len(b), false
	case b[i] == '\r' && i+1 < len(b) && b[i+1] == '\n':
		return i + 2, true
	default:
		return i + 1, true
	}
}

// addLine parses one line, without its end.
func (e *event) addLine(line []byte) error {
	e.hasData = e.hasData || line[0] != ':'
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return nil
	}
	id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	if err != nil {
		return errors.Errorf("event id %q is not a number", value)
	}
	e.id = id
	return nil
}
