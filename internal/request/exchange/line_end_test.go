package exchange

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// unframedHead is the head of a stream that ends with its connection.
const unframedHead = okHead + signedBy + "Content-Type: text/event-stream\r\n\r\n"

// lineEnds are the ends of lines that an event stream may use.
var lineEnds = map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"}

// eventText returns the text of the events from first to last with the line end.
func eventText(first, last int, lineEnd string) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		_, _ = fmt.Fprintf(&b, "id: %d%sdata: token %d%s%s", n, lineEnd, n, lineEnd, lineEnd)
	}
	return b.String()
}

// TestEventsAreForwardedAsTheyArrive guards against an event that is held back until the next
// one arrives, whatever ends its lines.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	for name, lineEnd := range lineEnds {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				const interval = 100 * time.Millisecond
				w.set("a", func(c net.Conn, _ *http.Request) {
					_, _ = io.WriteString(c, unframedHead)
					for n := range 5 {
						_, _ = io.WriteString(c, eventText(n+1, n+1, lineEnd))
						time.Sleep(interval)
					}
				})
				s, _ := w.service(unlimitedBudget{}, "a")
				rec := &gapRecorder{ResponseRecorder: httptest.NewRecorder()}
				begin := time.Now()
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.AtMostOnce, true)))
				assert.Equal(t, rec.Body.String(), eventText(1, 5, lineEnd))
				assert.Equal(t, rec.last.Sub(begin), 4*interval)
			})
		})
	}
}

// TestEventsAreReadFromSmallSegments guards against a CRLF that is taken for two line ends
// when its bytes arrive apart.
func TestEventsAreReadFromSmallSegments(t *testing.T) {
	for name, lineEnd := range lineEnds {
		t.Run(name, func(t *testing.T) {
			text := eventText(1, 3, lineEnd)
			r := newEventReader(iotest.OneByteReader(strings.NewReader(text)))
			var ids []int
			raw := ""
			for {
				e, err := r.next()
				if err == io.EOF {
					break
				}
				assert.NilError(t, err)
				raw += string(e.raw)
				if e.hasData {
					ids = append(ids, e.id)
				}
			}
			assert.DeepEqual(t, ids, []int{1, 2, 3})
			assert.Equal(t, raw, text)
		})
	}
}
