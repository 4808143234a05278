package http1

import (
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsecheck"
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
	// LimitTrailers is the size of the trailers of a chunked body in bytes.
	LimitTrailers Limit = "trailers"
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

// Limits of the head and the trailers of a response.
const (
	maxHeadLineBytes = 16 << 10
	maxHeadLines     = 256
	maxHeadBytes     = 64 << 10
	maxTrailerBytes  = 8 << 10
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

// headReader passes on what source returns, limits the heads and trailers of responses and checks
// the names of their fields. The bytes are checked before they are parsed: the parser of net/http
// has no limits, and accepts names with blanks and lines that continue other ones.
type headReader struct {
	source io.Reader
	// inHead: the next byte belongs to a head or to trailers.
	inHead bool
	// inName: the next byte belongs to the name of a field. name is what was read of it.
	inName bool
	name   []byte
	// size is the limit of bytes.
	size LimitError
	// refused is the error of a head or of trailers, or nil. Further reads return it as well: the parser
	// drops an error that it gets while it looks for a line that continues another one.
	refused error
	// lineBytes, lines and bytes count the current head or trailers. lines includes the status line
	// of a head, and the line of the last chunk before trailers.
	lineBytes, lines, bytes int
}

// beginHead starts to count a head whose first bytes were read before.
func (h *headReader) beginHead(buffered []byte) error {
	*h = headReader{source: h.source, inHead: true, size: LimitError{LimitHead, maxHeadBytes}}
	return h.count(buffered)
}

// beginTrailers does the same for trailers.
func (h *headReader) beginTrailers(buffered []byte) error {
	*h = headReader{source: h.source, inHead: true, inName: true, lines: 1, size: LimitError{LimitTrailers, maxTrailerBytes}}
	return h.count(buffered)
}

// Read implements io.Reader. It fails with a *LimitError when a head exceeds a limit, and with a
// *responsecheck.FieldNameError.
func (h *headReader) Read(p []byte) (int, error) {
	if h.refused != nil {
		return 0, h.refused
	}
	n, err := h.source.Read(p)
	if refused := h.count(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// result returns the error that refused the head or the trailers, or else that of their parser, which may have
// seen a line that was cut short.
func (h *headReader) result(parser error) error {
	if h.refused != nil {
		return h.refused
	}
	return parser
}

// count counts the bytes of p that belong to the head or trailers, which an empty line ends.
func (h *headReader) count(p []byte) error {
	for _, b := range p {
		if !h.inHead {
			break
		}
		if h.refused = h.countByte(b); h.refused != nil {
			return h.refused
		}
	}
	return nil
}

func (h *headReader) countByte(b byte) error {
	if err := h.checkName(b); err != nil {
		return err
	}
	h.bytes++
	switch {
	case b == '\n' && h.lineBytes == 0 && h.lines > 0:
		h.inHead = false
	case b == '\n':
		h.lines++
		h.lineBytes = 0
		h.inName, h.name = true, h.name[:0]
	case b != '\r':
		h.lineBytes++
	}
	return h.exceeded()
}

// checkName checks the next byte if it belongs to the name of a field (RFC 9110, section 5.1). A
// line that continues another one begins with a blank; servers must not send it (RFC 9112, section
// 5.2), and it can't be told from a field whose name does.
func (h *headReader) checkName(b byte) error {
	isEmptyLine := h.lineBytes == 0 && (b == '\r' || b == '\n')
	switch {
	case !h.inName || isEmptyLine:
		return nil
	case b == ':' && len(h.name) > 0:
		h.inName = false
		return nil
	}
	h.name = append(h.name, b)
	if !httpguts.IsTokenRune(rune(b)) {
		return &responsecheck.FieldNameError{Name: string(h.name)}
	}
	return nil
}

func (h *headReader) exceeded() error {
	switch {
	case h.lineBytes > maxHeadLineBytes:
		return &LimitError{LimitHeadLine, maxHeadLineBytes}
	case h.lines > maxHeadLines:
		return &LimitError{LimitHeadLines, maxHeadLines}
	case int64(h.bytes) > h.size.Max:
		return &LimitError{h.size.Limit, h.size.Max}
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
