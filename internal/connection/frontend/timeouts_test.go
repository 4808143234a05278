package frontend

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

func answerBody(_ context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
	_, err := w.Write(a.Body)
	return err
}

// TestIdleConnectionIsKeptForTheConfiguredTime guards against closing a caller's connection
// within the configured idle time: a request that is on its way gets no response.
func TestIdleConnectionIsKeptForTheConfiguredTime(t *testing.T) {
	for name, configure := range map[string]func(x *testFrontend){
		"configured before": func(x *testFrontend) { x.apply(2, declared.Limits{IdleTimeout: time.Minute}) },
		"configured while the connection is idle": func(x *testFrontend) {
			time.AfterFunc(testTimeouts.idle/2, func() { x.apply(2, declared.Limits{IdleTimeout: time.Minute}) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := listen(t, answerBody)
			c, r := x.dial(t)
			_, err := exchangeOn(c, r, "first")
			assert.NilError(t, err)
			configure(x)
			time.Sleep(5 * testTimeouts.idle)
			text, err := exchangeOn(c, r, "second")
			assert.NilError(t, err)
			assert.Equal(t, text, "second")
		})
	}
}

// TestIdleConnectionIsClosedAfterTheConfiguredTime guards against connections that stay open
// without end.
func TestIdleConnectionIsClosedAfterTheConfiguredTime(t *testing.T) {
	const configured = 500 * time.Millisecond
	x := listen(t, answerBody)
	x.apply(2, declared.Limits{IdleTimeout: configured})
	c, r := x.dial(t)
	_, err := exchangeOn(c, r, "first")
	assert.NilError(t, err)
	begin := time.Now()
	_, err = r.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(begin) > configured/2, "%v", time.Since(begin))
}

// TestHeadersMayTakeTheConfiguredTime guards against closing the connection of a caller that
// sends its headers slowly, but within the configured time.
func TestHeadersMayTakeTheConfiguredTime(t *testing.T) {
	x := listen(t, answerBody)
	x.apply(2, declared.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	c, r := x.dial(t)
	for range 2 { // on a new connection, and on one that was used
		for _, part := range []string{"POST /x HTTP/1.1\r\nHo", "st: h\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody"} {
			_, err := io.WriteString(c, part)
			assert.NilError(t, err)
			time.Sleep(3 * testTimeouts.header)
		}
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "body")
	}
}

// TestSlowHandlerOutlastsTheTimeouts guards against a timeout that ends a request whose
// headers were read.
func TestSlowHandlerOutlastsTheTimeouts(t *testing.T) {
	x := listen(t, func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
		time.Sleep(5 * testTimeouts.idle)
		return answerBody(ctx, w, a)
	})
	x.apply(2, declared.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute})
	c, r := x.dial(t)
	for range 2 {
		text, err := exchangeOn(c, r, "body")
		assert.NilError(t, err)
		assert.Equal(t, text, "body")
	}
}
