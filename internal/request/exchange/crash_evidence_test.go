package exchange

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

const chunkedStreamHead = "HTTP/1.1 200 OK\r\n" + signedBy + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func sameEngines(f func(w *testNetwork, c net.Conn, r *http.Request)) (*testNetwork, *Service) {
	w := newTestNetwork()
	for _, a := range engineAddresses {
		w.set(a, func(c net.Conn, r *http.Request) { w.countRun(); f(w, c, r) })
	}
	s, _ := w.service(unlimitedBudget{}, engineAddresses...)
	return w, s
}

func crashAtBegin(_ *testNetwork, c net.Conn, _ *http.Request) {
	time.Sleep(time.Second)
	_, _ = io.WriteString(c, chunkedStreamHead)
}

// TestResumedRequestThatCrashesEnginesIsCounted guards against a caller that repeats a request
// with the number of the only event that it received, and crashes all engines uncounted.
func TestResumedRequestThatCrashesEnginesIsCounted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := sameEngines(crashAtBegin)
		for range 2 {
			a := withParts("first", "deadly")
			a.LastEventID = 1
			t.Log(s.Serve(t.Context(), httptest.NewRecorder(), a))
		}
		assert.Assert(t, w.runs() <= 5, "%d runs", w.runs())
	})
}

// TestResponseWithoutLengthThatEndsBeforeItsFirstEventIsLost guards against a crash that reaches
// the caller as a complete, empty stream and clears the prompt.
func TestResponseWithoutLengthThatEndsBeforeItsFirstEventIsLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := sameEngines(func(_ *testNetwork, c net.Conn, r *http.Request) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedBy+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		})
		for range 8 {
			rec := httptest.NewRecorder()
			err := s.Serve(t.Context(), rec, withParts("first", "deadly"))
			t.Log(err, rec.Code, rec.Body.Len())
		}
		assert.Assert(t, w.runs() <= 5, "%d runs", w.runs())
	})
}

// TestResponseWithoutLengthAndOneEventClearsNoPart guards against a crash after the first event
// that clears the prompt.
func TestResponseWithoutLengthAndOneEventClearsNoPart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := sameEngines(func(_ *testNetwork, c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedBy+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
		})
		_ = w
		for i := range 2 {
			time.Sleep(time.Second)
			s.opts.Quarantine.RecordLoss([]string{"deadly"}, loss(i))
		}
		_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("deadly"))
		time.Sleep(time.Second)
		s.opts.Quarantine.RecordLoss([]string{"deadly"}, loss(3))
		assert.Assert(t, s.opts.Quarantine.Check([]string{"deadly"}, time.Now()).Refused)
	})
}

// TestInvalidStreamIsNoCrash guards against a quarantine because of engines that send what is no
// valid stream.
func TestInvalidStreamIsNoCrash(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		_, s := sameEngines(func(_ *testNetwork, c net.Conn, _ *http.Request) {
			time.Sleep(time.Second)
			e := "id: x1\ndata: x\n\n"
			_, _ = fmt.Fprintf(c, chunkedStreamHead+"%x\r\n%s\r\n0\r\n\r\n", len(e), e)
		})
		_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("sound"))
		assert.Assert(t, !s.opts.Quarantine.Check([]string{"sound"}, time.Now()).Refused)
	})
}

// TestUnsignedResponseIsNoCrash guards against a quarantine because of complete responses of
// other origin.
func TestUnsignedResponseIsNoCrash(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		_, s := sameEngines(func(_ *testNetwork, c net.Conn, _ *http.Request) {
			time.Sleep(time.Second)
			writeAnswer(c, 502, "", "bad gateway")
		})
		_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("sound"))
		assert.Assert(t, !s.opts.Quarantine.Check([]string{"sound"}, time.Now()).Refused)
	})
}

// TestClientErrorClearsNoPart guards against a part that is cleared by a response that no engine
// had to generate.
func TestClientErrorClearsNoPart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		for i := range 2 {
			time.Sleep(time.Second)
			s.opts.Quarantine.RecordLoss([]string{"deadly"}, loss(i))
		}
		w.set("a", w.respondWith(400, "bad request"))
		a := withParts("deadly")
		a.Route.Stream = false
		_ = s.Serve(t.Context(), httptest.NewRecorder(), a)
		time.Sleep(time.Second)
		s.opts.Quarantine.RecordLoss([]string{"deadly"}, loss(3))
		assert.Assert(t, s.opts.Quarantine.Check([]string{"deadly"}, time.Now()).Refused)
	})
}

// TestCallBesideASilentAttemptIsRetried guards against a sound call that waits for a silent
// target until its deadline because its prompt has shared parts.
func TestCallBesideASilentAttemptIsRetried(t *testing.T) {
	for name, parts := range map[string][]string{"none": nil, "sound": {"sound"}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				w.set("a", w.hang)
				w.set("b", w.truncateAnswer)
				w.set("c", w.respondWith(200, "ok"))
				s, _ := w.service(unlimitedBudget{}, "a", "b", "c")
				a := admitted(declared.Retryable, false)
				a.SharedParts = parts
				begin := time.Now()
				err := s.Serve(t.Context(), httptest.NewRecorder(), a)
				assert.NilError(t, err, "after %v", time.Since(begin))
			})
		})
	}
}

// TestTrialThatNoEngineTakesIsRepeatedSoon guards against a long quarantine because the engines
// were full when the trial came.
func TestTrialThatNoEngineTakesIsRepeatedSoon(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("p"))
		refused := 0
		for _, a := range engineAddresses { // mended, but full for a second
			w.set(a, func(c net.Conn, r *http.Request) {
				refused++
				refuseRequest(c, r)
			})
		}
		time.Sleep(time.Second)
		e := faultOf(t, s.serveTrial(t, httptest.NewRecorder(), withParts("p")))
		assert.Equal(t, e.Ran, chicoryv1.Ran_RAN_NOT_RUN)
		assert.Equal(t, refused, 1, "a trial reaches one engine")
		w.engines(defaultEngine, engineAddresses...)
		time.Sleep(5 * time.Second)
		assert.NilError(t, s.serveTrial(t, httptest.NewRecorder(), withParts("p")))
	})
}
