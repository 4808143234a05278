package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
)

// TestResetIsReadAfterALookForUnreadBytes guards against half a response that is taken for a whole one, since the
// look for unread bytes has taken the error of its connection.
func TestResetIsReadAfterALookForUnreadBytes(t *testing.T) {
	read := make(chan struct{})
	target := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		<-read
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	x, err := newPool().Send(t.Context(), target.address, &http1.Request{Method: "GET", URI: "/x", Host: "h"})
	assert.NilError(t, err)
	response, err := x.ReadResponse()
	assert.NilError(t, err)
	defer response.Abandon()
	_, err = io.ReadFull(response, make([]byte, len("half")))
	assert.NilError(t, err)
	close(read)
	time.Sleep(resetTime)
	assert.Assert(t, !x.HasUnread())
	_, err = response.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
