package exchange

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestCallAnswersThatEndWithTheConnection guards against a broken answer that is forwarded as
// a success, a complete one that is taken for a broken one, and a connection that is used
// again after its target has announced its end.
func TestCallAnswersThatEndWithTheConnection(t *testing.T) {
	for name, c := range map[string]struct {
		method, answer string
		end            func(c *net.TCPConn)
		status         int
		body           string
		connections    int32
	}{
		"no length":                    {"POST", okHead + signedBy + "\r\nall of it", endNormally, 200, "all of it", 2},
		"no length, announced":         {"POST", okHead + signedBy + "Connection: close\r\n\r\nall of it", endNormally, 200, "all of it", 2},
		"no length, empty":             {"POST", okHead + signedBy + "\r\n", endNormally, 200, "", 2},
		"no length, longer than a cut": {"POST", okHead + signedBy + "\r\n" + long, endNormally, 200, long, 2},
		"server error":                 {"POST", "HTTP/1.1 500 X\r\n" + signedBy + "\r\nfailed", endNormally, 500, "failed", 2},
		"HTTP/1.0":                     {"POST", "HTTP/1.0 200 OK\r\n" + signedBy + "\r\nall of it", endNormally, 200, "all of it", 2},
		"HTTP/1.0 with a length":       {"POST", "HTTP/1.0 200 OK\r\n" + signedBy + "Content-Length: 2\r\n\r\nok", endNormally, 200, "ok", 2},
		"HTTP/1.0 without an end":      {"POST", "HTTP/1.0 200 OK\r\n" + signedBy + "Content-Length: 2\r\n\r\nok", nil, 200, "ok", 2},
		"HTTP/1.0, kept":               {"POST", "HTTP/1.0 200 OK\r\n" + signedBy + "Connection: keep-alive\r\nContent-Length: 2\r\n\r\nok", nil, 200, "ok", 1},
		"announced end with a length":  {"POST", okHead + signedBy + "Connection: close\r\nContent-Length: 2\r\n\r\nok", nil, 200, "ok", 2},
		"announced end among others":   {"POST", okHead + signedBy + "Connection: x-hop, Close\r\nContent-Length: 2\r\n\r\nok", nil, 200, "ok", 2},
		"HEAD":                         {"HEAD", okHead + signedBy + "\r\n", nil, 200, "", 1},
		"HEAD with a length":           {"HEAD", okHead + signedBy + "Content-Length: 9\r\n\r\n", nil, 200, "", 1},
		"HEAD with an announced end":   {"HEAD", okHead + signedBy + "Connection: close\r\n\r\n", endNormally, 200, "", 2},
		"204":                          {"POST", "HTTP/1.1 204 X\r\n" + signedBy + "\r\n", nil, 204, "", 1},
		"204 with an announced end":    {"POST", "HTTP/1.1 204 X\r\n" + signedBy + "Connection: close\r\n\r\n", nil, 204, "", 2},
		"304":                          {"GET", "HTTP/1.1 304 X\r\n" + signedBy + "\r\n", nil, 304, "", 1},
		"304 with a length":            {"GET", "HTTP/1.1 304 X\r\n" + signedBy + "Content-Length: 9\r\n\r\n", nil, 304, "", 1},
		"reset":                        {"POST", okHead + signedBy + "\r\nhalf", resetConnection, 502, "", 2},
		"reset, announced":             {"POST", okHead + signedBy + "Connection: close\r\n\r\nhalf", resetConnection, 502, "", 2},
		"reset, HTTP/1.0":              {"POST", "HTTP/1.0 200 OK\r\n" + signedBy + "\r\nhalf", resetConnection, 502, "", 2},
		"short, HTTP/1.0":              {"POST", "HTTP/1.0 200 OK\r\n" + signedBy + "Content-Length: 9\r\n\r\nhalf", endNormally, 502, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			x := startRawTarget(t, c.answer, c.end)
			s, _ := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.address)
			a := admitted(declared.AtMostOnce, false)
			a.Method = c.method
			send := startCaller(t, s, a)
			for range 2 {
				status, body, err := send()
				assert.NilError(t, err)
				assert.Equal(t, status, c.status)
				if c.status != http.StatusBadGateway {
					assert.Equal(t, body, c.body)
				}
			}
			assert.Equal(t, x.connections.Load(), c.connections, "connections to the target")
			assert.Equal(t, x.requests.Load(), int32(2))
		})
	}
}

// TestResetAnswerWithoutLengthIsRepeated guards against half an answer that is forwarded as a
// success although another target has the whole one.
func TestResetAnswerWithoutLengthIsRepeated(t *testing.T) {
	x := startRawTarget(t, okHead+signedBy+"\r\nhalf", resetConnection)
	y := startRawTarget(t, okHead+signedBy+"\r\nall of it", endNormally)
	s, _ := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.address, y.address)
	status, body, err := startCaller(t, s, admitted(declared.Retryable, false))()
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "all of it")
}

// TestStreamWithoutLengthOrChunksEndsWithItsConnection cuts such a stream at each byte. It
// guards against a stream that was broken off inside an event and is forwarded as complete,
// and against a complete one that runs again.
func TestStreamWithoutLengthOrChunksEndsWithItsConnection(t *testing.T) {
	for name, lineEnd := range lineEnds {
		t.Run(name, func(t *testing.T) {
			text := eventText(1, 3, lineEnd)
			for cut := 1; cut <= len(text); cut++ {
				checkCutStream(t, text, cut, lineEnd, declared.Resumable)
				checkCutStream(t, text, cut, lineEnd, declared.AtMostOnce)
			}
		})
	}
}

// checkCutStream ends a stream after cut bytes of text.
func checkCutStream(t *testing.T, text string, cut int, lineEnd string, repetition declared.RetryPolicy) {
	// The CR of a last CRLF ends the event already.
	whole := strings.Count(text[:cut], lineEnd+lineEnd[:1])
	prefix := eventText(1, whole, lineEnd)
	complete := text[:cut] == prefix || text[:cut]+"\n" == prefix
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		s, engines := w.service(unlimitedBudget{}, "a", "b")
		listEngines(engines, "a")
		w.set("a", func(c net.Conn, _ *http.Request) {
			w.countRun()
			listEngines(engines, "a", "b")
			_, _ = io.WriteString(c, unframedHead+text[:cut])
		})
		w.engines(defaultEngine, "b")
		rec := httptest.NewRecorder()
		err := s.Serve(t.Context(), rec, admitted(repetition, true))
		body := rec.Body.String()
		var broken *TruncatedError
		switch {
		case complete:
			assert.NilError(t, err)
			assert.Equal(t, body, text[:cut])
			assert.Equal(t, w.runs(), 1)
		case repetition == declared.Resumable:
			assert.NilError(t, err)
			assert.Equal(t, body, prefix+strings.TrimPrefix(streamText(eventCount), streamText(whole)), "cut at %d", cut)
		case whole > 0:
			assert.Assert(t, errors.As(err, &broken), "cut at %d: %v", cut, err)
			assert.Equal(t, body, prefix)
		default:
			assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "cut at %d: %v", cut, err)
		}
	})
}

// TestCallerSeesHowAStreamEnded checks the end of the caller's response, over real connections.
func TestCallerSeesHowAStreamEnded(t *testing.T) {
	events := streamText(3)
	for name, c := range map[string]struct {
		answer     string
		end        func(c *net.TCPConn)
		repetition declared.RetryPolicy
		body       string
		complete   bool
	}{
		"whole event":                     {unframedHead + events, endNormally, declared.AtMostOnce, events, true},
		"whole event, HTTP/1.0":           {strings.Replace(unframedHead, "/1.1", "/1.0", 1) + events, endNormally, declared.AtMostOnce, events, true},
		"inside an event":                 {unframedHead + events + "id: 4\nda", endNormally, declared.AtMostOnce, events, false},
		"inside an event, resumable":      {unframedHead + events + "id: 4\nda", endNormally, declared.Resumable, streamText(eventCount), true},
		"after one newline":               {unframedHead + events + "id: 4\ndata: token 4\n", endNormally, declared.AtMostOnce, events, false},
		"reset after an event":            {unframedHead + events, resetConnection, declared.AtMostOnce, events, false},
		"reset after an event, resumable": {unframedHead + events, resetConnection, declared.Resumable, streamText(eventCount), true},
		"reset inside an event":           {unframedHead + events + "id: 4\nda", resetConnection, declared.Resumable, streamText(eventCount), true},
	} {
		t.Run(name, func(t *testing.T) {
			x, sound := startRawTarget(t, c.answer, c.end), startSoundTarget(t)
			s, engines := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.address, sound)
			listEngines(engines, x.address)
			x.onRequest = func() { listEngines(engines, x.address, sound) }
			a := admitted(c.repetition, true)
			a.URI = "/stream"
			status, body, err := startCaller(t, s, a)()
			assert.Equal(t, status, 200)
			assert.Equal(t, body, c.body)
			assert.Equal(t, err == nil, c.complete, "%v", err)
			assert.Equal(t, x.requests.Load(), int32(1))
		})
	}
}

// TestAnswerToHEADStatesNoLengthOfItsOwn guards against a length of 0 for a resource that has
// one: a target may leave the length out of its answer.
func TestAnswerToHEADStatesNoLengthOfItsOwn(t *testing.T) {
	for name, c := range map[string]struct{ header, length string }{
		"no length": {"", ""},
		"length":    {"Content-Length: 9\r\n", "9"},
	} {
		t.Run(name, func(t *testing.T) {
			x := startRawTarget(t, okHead+signedBy+c.header+"\r\n", nil)
			s, _ := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.address)
			a := admitted(declared.AtMostOnce, false)
			a.Method = http.MethodHead
			rec := httptest.NewRecorder()
			assert.NilError(t, s.Serve(t.Context(), rec, a))
			assert.Equal(t, rec.Header().Get("Content-Length"), c.length)
		})
	}
}
