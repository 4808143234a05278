package exchange

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// maxEventBytes limits the size of one event. It is well above the size of real events
// and keeps a target that never ends an event from exhausting the memory.
const maxEventBytes = 1 << 20

// event is one complete event as received, with the empty line at its end.
type event struct {
	// id is the event's number, or 0 if it has none.
	id  int
	raw []byte
}

// eventReader reads a stream of server-sent events.
type eventReader struct {
	source *bufio.Reader
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReader(source)}
}

// next returns the next complete event, io.EOF if the stream ends after an event, or
// io.ErrUnexpectedEOF if it ends within one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.source.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return event{}, errors.Errorf("event exceeds %d bytes", maxEventBytes)
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
				return event{}, errors.Errorf("event id %q is not a number", value)
			}
		}
	}
}
