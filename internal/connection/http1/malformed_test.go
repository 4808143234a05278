package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
)

// respondOnce sends text in response to the first request and keeps the connection open until the client
// closes it.
func respondOnce(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, r)
	}
}

// respondInLines does the same with a packet for each line.
func respondInLines(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		for line := range strings.Lines(text) {
			_, _ = io.WriteString(c, line)
			time.Sleep(packetPause)
		}
		_, _ = io.Copy(io.Discard, r)
	}
}

// packetPause is the time in which bytes on loopback are read before the next ones arrive.
const packetPause = 2 * time.Millisecond

// assertMalformed checks that a target's response is refused, without waiting for further bytes.
func assertMalformed(t *testing.T, text string) {
	t.Helper()
	assertRefused(t, respondOnce(text))
	assertRefused(t, respondInLines(text))
}

func assertRefused(t *testing.T, respond func(net.Conn, *bufio.Reader)) {
	t.Helper()
	x := startTarget(t, respond)
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	body, err := get(ctx, newPool(), x.address)
	assert.Assert(t, err != nil && !http1.IsNotSent(err), "%q, %v", body, err)
	assert.NilError(t, ctx.Err(), "waited for further bytes")
}

const requestTimeout = 3 * time.Second

// TestInvalidStatusIsNoResponse guards against an invalid status that is taken for that of an informational or a
// final response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for name, text := range responsetest.InvalidStatuses("", "body") {
		t.Run(name, func(t *testing.T) { assertMalformed(t, text) })
	}
}

// TestInvalidFieldNameIsNoResponse guards against a line with an invalid name that is dropped or passed on: a
// length or an encoding in it is that of the body.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for name, text := range responsetest.MalformedHeads("X-A: b\r\n", "body") {
		t.Run("head/"+name, func(t *testing.T) { assertMalformed(t, text) })
	}
	for name, text := range responsetest.MalformedTrailers("X-A: b\r\n", "body") {
		t.Run("trailers/"+name, func(t *testing.T) { assertMalformed(t, text) })
	}
}

func TestInvalidChunkSizeIsNoResponse(t *testing.T) {
	for name, text := range responsetest.InvalidChunks("", "body") {
		t.Run(name, func(t *testing.T) { assertMalformed(t, text) })
	}
}

// TestTrailersAreRead guards against trailers that are taken for the next response on the connection, or against
// sound ones that are refused.
func TestTrailersAreRead(t *testing.T) {
	for name, trailers := range map[string]string{
		"none": "", "one": "X-A: b\r\n", "several": "X-A: b c\r\nx-d:\r\n!#$%&'*+-.^_`|~: e\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := startTarget(t, respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailers+"\r\n"))
			p := newPool()
			defer p.Close()
			for range 2 {
				body, err := get(t.Context(), p, x.address)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			assert.Equal(t, len(x.accepted), 1)
		})
	}
}

func TestTrailersAreLimited(t *testing.T) {
	trailers := strings.Repeat("X-A: "+strings.Repeat("b", 100)+"\r\n", 90)
	x := startTarget(t, respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailers+"\r\n"))
	_, err := get(t.Context(), newPool(), x.address)
	var limit *http1.LimitError
	assert.Assert(t, errors.As(err, &limit), "%v", err)
	assert.Equal(t, limit.Limit, http1.LimitTrailers)
}
