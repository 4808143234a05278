package frontend

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
)

// slowConn is a connection on which each write takes a while.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(answerTime / 3)
	return c.Conn.Write(b)
}

type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

// TestAnswersAreWrittenBeforeTheirConnectionsAreClosed guards against a request that is answered
// when the grace period ends, and whose connection is closed before net/http has written the answer.
func TestAnswersAreWrittenBeforeTheirConnectionsAreClosed(t *testing.T) {
	begun := make(chan struct{})
	x := listenOn(t, func(ln net.Listener) net.Listener { return slowListener{ln} },
		func(ctx context.Context, _ http.ResponseWriter, _ *exchange.AdmittedRequest) error {
			close(begun)
			<-ctx.Done()
			return fault.New(fault.OutcomeUnknown, "stopped")
		})
	c, r := x.dial(t)
	answered := make(chan string, 1)
	go func() {
		text, _ := exchangeOn(c, r, "body") // an error leaves text incomplete
		answered <- text
	}()
	<-begun
	x.RejectRequests()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.NilError(t, x.Shutdown(ctx))
	assert.Equal(t, <-answered, string(fault.OutcomeUnknown)+"\n")
}
