package frontend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
)

// TestRequestsAreRefusedWhileAcceptedOnesComplete guards against a request that was read
// completely and gets neither a response nor a refusal during a shutdown: net/http closes the
// connections on which it reads a request after its Shutdown has begun.
func TestRequestsAreRefusedWhileAcceptedOnesComplete(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	x := listen(t, func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
		close(begun)
		<-finish
		return answerBody(ctx, w, a)
	})
	unused, unusedReader := x.dial(t)
	first, firstReader := x.dial(t)
	answered := make(chan string, 1)
	go func() {
		text, _ := exchangeOn(first, firstReader, "body") // an error leaves text incomplete
		answered <- text
	}()
	<-begun
	x.StartDraining()
	x.RejectRequests()
	stopped := make(chan error, 1)
	go func() { stopped <- x.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	text, err := exchangeOn(unused, unusedReader, "body")
	assert.NilError(t, err)
	assert.Equal(t, text, string(fault.Draining)+"\n")
	close(finish)
	assert.Equal(t, <-answered, "body")
	assert.NilError(t, <-stopped)
}

// TestShutdownEndsWithItsContext guards against a shutdown that waits for a request without
// end.
func TestShutdownEndsWithItsContext(t *testing.T) {
	begun := make(chan struct{})
	x := listen(t, func(ctx context.Context, _ http.ResponseWriter, _ *exchange.AdmittedRequest) error {
		close(begun)
		<-ctx.Done()
		return fault.New(fault.Cancelled, "cancelled")
	})
	c, r := x.dial(t)
	go func() { _, _ = exchangeOn(c, r, "body") }() // ends without a response
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	begin := time.Now()
	assert.NilError(t, x.Shutdown(ctx))
	assert.Assert(t, time.Since(begin) < 5*time.Second)
}

// TestNoRequestIsPassedOnByAClosingConnection guards against a request that crosses the close of
// its idle connection at the end of a shutdown, is passed on and gets no response.
func TestNoRequestIsPassedOnByAClosingConnection(t *testing.T) {
	const connections, rounds = 20, 8
	for range rounds {
		var passedOn, answered atomic.Int64
		x := listen(t, func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
			passedOn.Add(1)
			time.Sleep(time.Millisecond)
			return answerBody(ctx, w, a)
		})
		var callers sync.WaitGroup
		for i := range connections {
			c, r := x.dial(t)
			callers.Go(func() {
				for {
					time.Sleep(time.Duration(i) * 100 * time.Microsecond)
					text, err := exchangeOn(c, r, "body")
					if err != nil {
						return // the connection was closed
					}
					if text == "body" {
						answered.Add(1)
					}
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		x.RejectRequests()
		assert.NilError(t, x.Shutdown(t.Context()))
		callers.Wait()
		assert.Equal(t, answered.Load(), passedOn.Load())
	}
}

// TestRequestsAreAnsweredWhenTheGracePeriodEnds guards against an accepted request whose connection
// is closed without a response at the end of a shutdown.
func TestRequestsAreAnsweredWhenTheGracePeriodEnds(t *testing.T) {
	begun := make(chan struct{})
	x := listen(t, func(ctx context.Context, _ http.ResponseWriter, _ *exchange.AdmittedRequest) error {
		close(begun)
		<-ctx.Done()
		assert.Check(t, errors.Is(context.Cause(ctx), exchange.ErrStopping))
		return fault.New(fault.OutcomeUnknown, "stopped")
	})
	c, r := x.dial(t)
	answered := make(chan string, 1)
	go func() {
		text, _ := exchangeOn(c, r, "body") // an error leaves text incomplete
		answered <- text
	}()
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.NilError(t, x.Shutdown(ctx))
	assert.Equal(t, <-answered, string(fault.OutcomeUnknown)+"\n")
}
