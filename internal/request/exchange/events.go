package exchange

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// maxEventBytes bounds one event of a stream; it is well above what events hold and
// keeps a target that sends no end of an event from filling the memory.
const maxEventBytes = 1 << 20

// event is one whole event as the target sent it, with the empty line at its end.
type event struct {
	// id is the event's number, 0 where it has none.
	id  int
	raw []byte
}

// eventReader reads a series of events.
type eventReader struct {
	from *bufio.Reader
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: bufio.NewReader(from)}
}

// next returns the next whole event, or io.EOF when the series ended after one. A
// series that ends within an event gives io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.from.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return event{}, errors.Errorf("an event is above %d bytes", maxEventBytes)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id, err = strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				return event{}, errors.Errorf("the event id %q is no number", value)
			}
		}
	}
}
