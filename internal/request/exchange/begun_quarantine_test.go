package exchange

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
)

// quarantineNow puts a part in quarantine.
func (s *Service) quarantineNow(part string) { s.quarantineSince(part, 0) }

// quarantineSince puts a part in quarantine whose last loss was some time ago.
func (s *Service) quarantineSince(part string, ago time.Duration) {
	for i := range 3 {
		l := loss(i)
		l.At = l.At.Add(-ago)
		s.opts.Quarantine.RecordLoss([]string{part}, l)
	}
}

// firstEventThen returns a handler that sends one event, and ends after f.
func (w *testNetwork) firstEventThen(f func()) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		w.countRun()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedBy+"Transfer-Encoding: chunked\r\n\r\n")
		_, _ = io.WriteString(c, "15\r\nid: 1\ndata: token 1\n\n\r\n")
		time.Sleep(time.Millisecond) // the caller has the event
		f()
	}
}

// TestQuarantineDoesNotEndAStreamAtASoundEngine guards against a response that is truncated
// while its engine works: the caller has its first event when a part of its prompt comes into
// quarantine, and the second event is not there yet.
func TestQuarantineDoesNotEndAStreamAtASoundEngine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		slow := defaultEngine
		slow.gap = 250 * time.Millisecond
		w.engines(slow, engineAddresses...)
		s, _ := w.service(unlimitedBudget{}, engineAddresses...)
		time.AfterFunc(slow.first+slow.gap+slow.gap/2, func() { s.quarantineNow("shared") })
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, withParts("shared")))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Equal(t, w.runs(), 1)
	})
}

// TestBegunStreamOutlastsAQuarantine guards against a response that is truncated because its
// engine was lost after the first event and a part of its prompt is in quarantine: such a
// response can't be refused, and others or a trial may show that the part is sound.
func TestBegunStreamOutlastsAQuarantine(t *testing.T) {
	for name, release := range map[string]func(*Service){
		"cleared by another answer": func(s *Service) {
			s.opts.Quarantine.RecordBegun([]string{"shared"}, time.Now())
		},
		"cleared after its targets were replaced": func(s *Service) {
			s.list()
			time.Sleep(time.Second)
			s.opts.Quarantine.RecordBegun([]string{"shared"}, time.Now())
			time.Sleep(time.Second)
			s.list("f")
		},
		"cleared by its trial": func(s *Service) {
			grantTrials(s.opts.Quarantine)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				s, _ := w.service(unlimitedBudget{}, engineAddresses...)
				for _, address := range engineAddresses {
					w.set(address, w.firstEventThen(func() {
						s.quarantineNow("shared")
						time.Sleep(50 * time.Millisecond)
						w.engines(defaultEngine, engineAddresses...)
					}))
				}
				time.AfterFunc(2*time.Second, func() {
					assert.Check(t, s.opts.Quarantine.Check([]string{"shared"}, time.Now()).Refused)
					assert.Check(t, w.runs() == 1, "%d runs", w.runs())
					release(s)
				})
				rec := httptest.NewRecorder()
				assert.NilError(t, s.Serve(t.Context(), rec, withParts("shared")))
				assert.Equal(t, rec.Body.String(), streamText(eventCount))
				assert.Equal(t, w.runs(), 2)
				assert.Assert(t, !s.opts.Quarantine.Check([]string{"shared"}, time.Now()).Refused)
			})
		})
	}
}

// TestBegunStreamThatCrashesEnginesStaysInQuarantine guards against a request that crashes each
// engine after its first event and, as its response has begun, is sent to one after the other.
func TestBegunStreamThatCrashesEnginesStaysInQuarantine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		s, _ := w.service(unlimitedBudget{}, engineAddresses...)
		for _, address := range engineAddresses {
			w.set(address, w.firstEventThen(func() { time.Sleep(50 * time.Millisecond) }))
		}
		a := withParts("deadly")
		err := s.Serve(t.Context(), httptest.NewRecorder(), a)
		var truncated *TruncatedError
		assert.Assert(t, errors.As(err, &truncated), "%v", err)
		assert.Assert(t, !time.Now().Before(a.Deadline), "ended %v before its deadline", time.Until(a.Deadline))
		assert.Equal(t, w.runs(), 3)
		assert.Assert(t, s.opts.Quarantine.Check(a.keys, time.Now()).Refused)
	})
}

// TestTrialOfABegunStreamReachesOneEngine guards against a begun response whose request crashes
// engines and which, on trial, is sent to more than one.
func TestTrialOfABegunStreamReachesOneEngine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		s, _ := w.service(unlimitedBudget{}, engineAddresses...)
		for _, address := range engineAddresses {
			w.set(address, w.firstEventThen(func() { time.Sleep(50 * time.Millisecond) }))
		}
		time.AfterFunc(2*time.Second, func() { grantTrials(s.opts.Quarantine) })
		err := s.Serve(t.Context(), httptest.NewRecorder(), withParts("deadly"))
		var truncated *TruncatedError
		assert.Assert(t, errors.As(err, &truncated), "%v", err)
		assert.Equal(t, w.runs(), 4)
	})
}

// grantTrials grants this VM the trials that it asks for.
func grantTrials(q *quarantine.Table) {
	changes, _ := q.LocalChanges(0, time.Now())
	q.GrantTrials("self", changes, time.Now())
}
