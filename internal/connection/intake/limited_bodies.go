package intake

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// messageFactor is how much memory a Connect handler needs for each byte of a message: the buffer in
// which it is received doubles, and the message is decoded from it.
const messageFactor = 3

// LimitMessages reserves memory for the heads of requests of HTTP/2, and for the bodies that h reads, as
// they are read, until h returns. A request for which there is no room for its body fails with kind
// NotReady. It is for handlers that read bodies in their own buffers, as Connect's do.
func LimitMessages(h http.Handler, b *Budget) http.Handler {
	heads, u := b.Use("heads", headShare), Bodies(b)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor >= 2 {
			cost := headCost(r)
			if !heads.TryReserve(cost) {
				report(r, reasonHeadMemory)
				w.Header().Set("Retry-After", fmt.Sprintf("%.3f", RetryAfter().Seconds()))
				http.Error(w, "there is no memory for the request", http.StatusServiceUnavailable)
				return
			}
			defer heads.Release(cost)
		}
		if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		body := &limitedBody{ReadCloser: r.Body, request: r}
		body.hold = u.Begin(body.giveUp(r))
		defer body.hold.Release()
		r.Body = body
		h.ServeHTTP(w, r)
	})
}

// headCost returns the memory of a request's headers.
func headCost(r *http.Request) int64 {
	s := headScanner{lines: 1}
	for name, values := range r.Header {
		s.lines += len(values)
		for _, v := range values {
			s.bytes += len(name) + len(v)
		}
	}
	return s.cost()
}

// limitedBody is the body of a request. Its read methods are used by one goroutine.
type limitedBody struct {
	io.ReadCloser
	request *http.Request
	hold    *Hold
	refused bool
}

// giveUp returns a function that makes reads of the body fail.
func (b *limitedBody) giveUp(r *http.Request) func() {
	conn := ConnOf(r)
	if r.ProtoMajor < 2 && conn != nil {
		return conn.giveUp
	}
	inner := b.ReadCloser
	return func() { _ = inner.Close() } // ends reads of a stream of HTTP/2
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), maxChunkBytes)])
	switch {
	case n > 0 && b.hold.Grow(b.request.Context(), int64(n)*messageFactor) != nil, b.hold.GivenUp():
		if !b.refused {
			report(b.request, reasonBodyMemory)
		}
		b.refused = true
		return 0, fault.ToConnect(fault.New(fault.NotReady, "there is no memory for the request").WithRetryAfter(RetryAfter()), "")
	case errors.Is(err, io.EOF):
		b.hold.Finish()
	}
	return n, err
}

// report counts and logs a refusal of a request.
func report(r *http.Request, why reason) {
	if conn := ConnOf(r); conn != nil {
		conn.listener.report(why)
	}
}

// RetryAfter returns the time after which a request for which there was no room may return: a second, in
// which most requests that hold memory end, and up to another one so that clients don't return together.
func RetryAfter() time.Duration {
	return time.Second + rand.N(time.Second)
}
