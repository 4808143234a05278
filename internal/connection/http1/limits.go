package http1

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Limit names a limit on what a target may send.
type Limit string

// The limits on responses.
const (
	// LimitHeadLine is the length of the status line or of one header in bytes.
	LimitHeadLine Limit = "head_line"
	// LimitHeadLines is the number of headers of a response.
	LimitHeadLines Limit = "head_lines"
	// LimitHead is the size of the status line and the headers in bytes.
	LimitHead Limit = "head"
	// LimitInformational is the number of informational responses before the final one.
	LimitInformational Limit = "informational_responses"
	// LimitBody is the size of a body in bytes.
	LimitBody Limit = "body"
	// LimitBodyMemory is the memory in bytes of all long bodies that are being read.
	LimitBodyMemory Limit = "body_memory"
	// LimitEvent is the size of one event of a stream in bytes.
	LimitEvent Limit = "event"
	// LimitUnnumbered is the size in bytes of what a stream sends between two new events.
	LimitUnnumbered Limit = "unnumbered_events"
)

// Limits of the head of a response.
const (
	maxHeadLineBytes = 16 << 10
	maxHeadLines     = 256
	maxHeadBytes     = 64 << 10
	// maxInformational is the number of informational responses; servers send one or two.
	maxInformational = 8
)

// LimitError states that a target sent more than a limit allows.
type LimitError struct {
	Limit Limit
	Max   int64
}

// Error returns the limit and its value.
func (e *LimitError) Error() string {
	return fmt.Sprintf("response exceeds limit %s of %d", e.Limit, e.Max)
}

// headReader passes on what source returns and limits the heads of responses. A limit is
// checked on the bytes that were read, before they are parsed: the parser of net/http has
// none.
type headReader struct {
	source io.Reader
	// inHead: the next byte belongs to a head.
	inHead bool
	// lineBytes, lines and bytes count the current head.
	lineBytes, lines, bytes int
}

// begin starts to count a head whose first bytes were read before.
func (h *headReader) begin(buffered []byte) error {
	*h = headReader{source: h.source, inHead: true}
	return h.count(buffered)
}

// Read implements io.Reader. It fails with a *LimitError when a head exceeds a limit.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	if limitErr := h.count(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// count counts the bytes of p that belong to the head, which an empty line ends.
func (h *headReader) count(p []byte) error {
	for _, b := range p {
		if !h.inHead {
			return nil
		}
		h.bytes++
		switch {
		case b == '\n' && h.lineBytes == 0 && h.lines > 0:
			h.inHead = false
		case b == '\n':
			h.lines++
			h.lineBytes = 0
		case b != '\r':
			h.lineBytes++
		}
		if err := h.exceeded(); err != nil {
			return err
		}
	}
	return nil
}

func (h *headReader) exceeded() error {
	switch {
	case h.lineBytes > maxHeadLineBytes:
		return &LimitError{LimitHeadLine, maxHeadLineBytes}
	case h.lines > maxHeadLines:
		return &LimitError{LimitHeadLines, maxHeadLines}
	case h.bytes > maxHeadBytes:
		return &LimitError{LimitHead, maxHeadBytes}
	}
	return nil
}

// bodyMemory limits the memory of all long bodies that are being read at a time. A body is
// counted until it is complete, since only an incomplete one can grow without end.
type bodyMemory struct {
	used atomic.Int64
	max  int64
}

// take counts n more bytes, or fails with a *LimitError.
func (m *bodyMemory) take(n int64) error {
	if m.used.Add(n) > m.max {
		m.used.Add(-n)
		return &LimitError{LimitBodyMemory, m.max}
	}
	return nil
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }
