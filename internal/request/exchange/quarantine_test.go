package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// loss is the loss of an earlier start of an engine now.
func loss(i int) quarantine.Loss {
	now := time.Now()
	return quarantine.Loss{Target: quarantine.Target{Address: engineAddresses[i], Instance: "earlier"}, SentAt: now, At: now}
}

var engineAddresses = []string{"a", "b", "c", "d", "e", "f"}

// crashingEngines returns a service whose engines crash, after reading the prompt, as they
// begin an answer.
func crashingEngines() (*testNetwork, *Service) {
	w := newTestNetwork()
	for _, address := range engineAddresses {
		w.set(address, func(c net.Conn, _ *http.Request) {
			w.countRun()
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedBy+"Transfer-Encoding: chunked\r\n\r\n")
		})
	}
	s, _ := w.service(unlimitedBudget{}, engineAddresses...)
	return w, s
}

// withParts returns a request for a stream whose prompt has the parts.
func withParts(parts ...string) *AdmittedRequest {
	a := admitted(declared.Resumable, true)
	a.SharedParts = parts
	a.Route.MaxAttempts = len(engineAddresses)
	return a
}

func faultOf(t *testing.T, err error) *fault.Error {
	t.Helper()
	var e *fault.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}

// TestRequestThatCrashesEnginesIsNotSentToAllOfThem guards against a request that crashes
// one engine after the other, up to the attempts of its route.
func TestRequestThatCrashesEnginesIsNotSentToAllOfThem(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		e := faultOf(t, s.Serve(t.Context(), httptest.NewRecorder(), withParts("first", "deadly")))
		assert.Equal(t, e.Kind, fault.PromptQuarantined)
		assert.Equal(t, e.Ran, chicoryv1.Ran_RAN_UNKNOWN)
		assert.Equal(t, w.runs(), 3)
	})
}

// TestRequestWithQuarantinedPartIsRefusedAtOnce guards against requests of one kind that
// crash engines, one after the other: each is refused without reaching an engine.
func TestRequestWithQuarantinedPartIsRefusedAtOnce(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "call": false} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w, s := crashingEngines()
				_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("first", "deadly"))
				runs, begin := w.runs(), time.Now()
				a := withParts("first", "deadly")
				a.Route.Stream = stream
				e := faultOf(t, s.Serve(t.Context(), httptest.NewRecorder(), a))
				assert.Equal(t, e.Kind, fault.PromptQuarantined)
				assert.Equal(t, e.Ran, chicoryv1.Ran_RAN_NOT_RUN)
				assert.Assert(t, e.RetryAfter > 0)
				assert.Equal(t, w.runs(), runs)
				assert.Equal(t, time.Since(begin), time.Duration(0))
			})
		})
	}
}

// TestRepeatableCallThatCrashesTargetsIsNotRetriedEverywhere guards against the same for
// calls that are not streams.
func TestRepeatableCallThatCrashesTargetsIsNotRetriedEverywhere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		a := withParts("first", "deadly")
		a.Route.Stream, a.Route.RetryPolicy, a.Route.LatencyObjective = false, declared.Retryable, 0
		err := s.Serve(t.Context(), httptest.NewRecorder(), a)
		assert.Assert(t, err != nil)
		assert.Assert(t, w.runs() <= 4, "%d runs", w.runs()) // three, and a hedge beside them
	})
}

// TestWaitingRequestWithQuarantinedPartIsEnded guards against a request that crashes one more
// engine because it had been sent before the quarantine.
func TestWaitingRequestWithQuarantinedPartIsEnded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		slow, ended := make(chan error, 1), make(chan time.Time, 1)
		for _, address := range engineAddresses {
			w.set(address, func(c net.Conn, _ *http.Request) {
				w.countRun()
				_, _ = c.Read(make([]byte, 1)) // until the caller closes the connection
				ended <- time.Now()
			})
		}
		begin := time.Now()
		go func() { slow <- s.Serve(t.Context(), httptest.NewRecorder(), withParts("other", "deadly")) }()
		synctest.Wait()
		for i := range 3 {
			time.Sleep(500 * time.Millisecond)
			s.opts.Quarantine.RecordLoss([]string{"deadly"}, loss(i))
		}
		e := faultOf(t, <-slow)
		assert.Equal(t, e.Kind, fault.PromptQuarantined)
		assert.Equal(t, e.Ran, chicoryv1.Ran_RAN_UNKNOWN)
		assert.Equal(t, (<-ended).Sub(begin), 1500*time.Millisecond)
		assert.Equal(t, time.Since(begin), 1800*time.Millisecond) // reports of other VMs may come meanwhile
		assert.Equal(t, w.runs(), 1)
	})
}

// TestSoundRequestAwaitsReportsOfOtherVMs guards against a sound request that is refused because it was at three
// targets that requests at another entry VM crashed: that VM's reports of the same losses come later.
func TestSoundRequestAwaitsReportsOfOtherVMs(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "call": false} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w, s := crashingEngines()
				other := quarantine.NewTable(quarantine.Options{ID: "other", Random: func() float64 { return 0 }})
				report := func(l quarantine.Loss) {
					other.RecordLoss([]string{"deadly"}, l)
					losses, _ := other.All(time.Now())
					s.opts.Quarantine.Merge(losses, time.Now())
				}
				report(loss(5))
				sound := defaultEngine
				sound.w = w
				for _, address := range engineAddresses {
					w.set(address, func(c net.Conn, r *http.Request) {
						switch {
						case w.runs() < 3:
							w.countRun()
							time.Sleep(30 * time.Millisecond) // less than the delay of a hedge
							now := time.Now()
							l := quarantine.Loss{Target: quarantine.Target{Address: address, Instance: "i-" + address}, SentAt: now, At: now}
							time.AfterFunc(200*time.Millisecond, func() { report(l) })
						case stream:
							sound.serve(c, r)
						default:
							w.respondWith(200, "answer")(c, r)
						}
					})
				}
				a, rec := withParts("shared"), httptest.NewRecorder()
				want := streamText(eventCount)
				if !stream {
					a.Route.Stream, a.Route.RetryPolicy, want = false, declared.Retryable, "answer"
				}
				assert.NilError(t, s.Serve(t.Context(), rec, a))
				assert.Equal(t, rec.Body.String(), want)
				assert.Equal(t, w.runs(), 4)
			})
		})
	}
}

// TestRetriedRequestIsNotTakenForTheDeadlyPart guards against a sound stream that is refused because it was
// retried at the same three engines as the first request with a deadly part: both were lost as often.
func TestRetriedRequestIsNotTakenForTheDeadlyPart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		s.opts.Quarantine.RecordBegun([]string{"shared"}, time.Now())
		sound := defaultEngine
		sound.w = w
		for _, address := range engineAddresses {
			w.set(address, func(c net.Conn, r *http.Request) {
				if w.runs() >= 3 {
					sound.serve(c, r)
					return
				}
				w.countRun()
				sentAt := time.Now()
				time.Sleep(time.Second)
				lost := quarantine.Target{Address: address, Instance: "i-" + address}
				s.opts.Quarantine.RecordLoss([]string{"shared", "deadly"}, quarantine.Loss{Target: lost, SentAt: sentAt, At: time.Now()})
			})
		}
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, withParts("shared")))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Equal(t, w.runs(), 4)
		assert.Assert(t, s.opts.Quarantine.Check([]string{"shared", "deadly"}, time.Now()).Refused)
	})
}

// TestSoundRequestIsServedBesideAQuarantine guards against a quarantine of the parts that
// sound requests share with those that crash engines.
func TestSoundRequestIsServedBesideAQuarantine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("first", "deadly"))
		w.engines(defaultEngine, engineAddresses...)
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, withParts("first")))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		e := faultOf(t, s.Serve(t.Context(), httptest.NewRecorder(), withParts("other", "deadly")))
		assert.Equal(t, e.Kind, fault.PromptQuarantined, "the first part is cleared")
	})
}

// TestEnginesLostAfterAnAnswerBeganAreNoQuarantine guards against a stream that is ended
// because the engines that continue it fail, which its prompt does not cause.
func TestEnginesLostAfterAnAnswerBeganAreNoQuarantine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		e := defaultEngine
		e.dieAfter = 4
		w.engines(e, engineAddresses...)
		s, _ := w.service(unlimitedBudget{}, engineAddresses...)
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, withParts("popular")))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Assert(t, !s.opts.Quarantine.Admit([]string{"popular"}, time.Now()).Refused)
	})
}

// serveTrial serves a request whose keys are in quarantine as a trial, which the leader grants
// after one that is refused.
func (s *Service) serveTrial(t *testing.T, rec *httptest.ResponseRecorder, a *AdmittedRequest) error {
	t.Helper()
	again := *a
	assert.Assert(t, s.Serve(t.Context(), httptest.NewRecorder(), &again) != nil, "served without a trial")
	changes, _ := s.opts.Quarantine.LocalChanges(0, time.Now())
	s.opts.Quarantine.GrantTrials("self", changes, time.Now())
	return s.Serve(t.Context(), rec, a)
}

// TestTrialAfterAQuarantineIsServed guards against a part that is refused for good after its
// fault was mended.
func TestTrialAfterAQuarantineIsServed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("p"))
		w.engines(defaultEngine, engineAddresses...)
		time.Sleep(time.Second)
		rec := httptest.NewRecorder()
		assert.NilError(t, s.serveTrial(t, rec, withParts("p")))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.NilError(t, s.Serve(t.Context(), httptest.NewRecorder(), withParts("p")))
	})
}

// restartingPicker picks the targets in turn, each time as another start.
type restartingPicker struct{ picks atomic.Int64 }

func (p *restartingPicker) Pick(request.Work, []string) (request.Placement, error) {
	n := int(p.picks.Add(1))
	return request.Placement{
		Target: &chicoryv1.Target{Address: engineAddresses[n%len(engineAddresses)], Instance: strconv.Itoa(n)},
		Done:   func(request.Result, time.Duration) {},
	}, nil
}

// crashingCalls returns a service whose targets crash while they run a call.
func crashingCalls() (*testNetwork, *Service) {
	w := newTestNetwork()
	for _, address := range engineAddresses {
		w.set(address, func(net.Conn, *http.Request) {
			w.countRun()
			time.Sleep(50 * time.Millisecond)
		})
	}
	s, _ := w.service(unlimitedBudget{}, engineAddresses...)
	s.opts.Picker = &restartingPicker{}
	return w, s
}

// call returns a call of a team. A caller that sends it again gives it another ID.
func call(policy declared.RetryPolicy, team, uri, body string) *AdmittedRequest {
	a := admitted(policy, false)
	a.PromptID, a.Team, a.URI, a.Body = "", team, uri, []byte(body)
	a.Route.MaxAttempts = 2
	return a
}

// TestCallThatIsSentAgainAndCrashesTargetsIsRefused guards against a call that its caller sends
// again and again, with other IDs, each time to further targets, and against sound calls that
// differ from it in one thing only.
func TestCallThatIsSentAgainAndCrashesTargetsIsRefused(t *testing.T) {
	for name, policy := range map[string]declared.RetryPolicy{"safe": declared.Retryable, "at most once": declared.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w, s := crashingCalls()
				var last *fault.Error
				for range 8 {
					last = faultOf(t, s.Serve(t.Context(), httptest.NewRecorder(), call(policy, "desk", "/x/", "deadly")))
					time.Sleep(100 * time.Millisecond)
				}
				assert.Equal(t, last.Kind, fault.RequestQuarantined)
				assert.Equal(t, last.Ran, chicoryv1.Ran_RAN_NOT_RUN)
				assert.Assert(t, w.runs() <= 4, "%d runs", w.runs()) // three, and a hedge beside them
				for _, sound := range []*AdmittedRequest{
					call(policy, "desk", "/x/", "sound"), call(policy, "desk", "/y/", "deadly"), call(policy, "other", "/x/", "deadly"),
				} {
					for _, address := range engineAddresses {
						w.set(address, w.respondWith(200, "answer"))
					}
					assert.NilError(t, s.Serve(t.Context(), httptest.NewRecorder(), sound))
				}
			})
		})
	}
}

// TestCallOnTrialReachesOneTarget guards against a trial that crashes several targets.
func TestCallOnTrialReachesOneTarget(t *testing.T) {
	for name, policy := range map[string]declared.RetryPolicy{"safe": declared.Retryable, "at most once": declared.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w, s := crashingCalls()
				for range 4 {
					_ = s.Serve(t.Context(), httptest.NewRecorder(), call(policy, "desk", "/x/", "deadly"))
				}
				runs := w.runs()
				time.Sleep(time.Second)
				e := faultOf(t, s.serveTrial(t, httptest.NewRecorder(), call(policy, "desk", "/x/", "deadly")))
				assert.Equal(t, e.Ran, chicoryv1.Ran_RAN_UNKNOWN)
				assert.Equal(t, w.runs(), runs+1)
			})
		})
	}
}

// TestGenerationThatIsSentAgainAndCrashesEnginesIsRefused guards against a prompt without shared
// parts that crashes engines.
func TestGenerationThatIsSentAgainAndCrashesEnginesIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w, s := crashingEngines()
		for range 4 {
			_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts())
		}
		assert.Equal(t, w.runs(), 3)
		other := withParts()
		other.Body = []byte("another body of the same session")
		e := faultOf(t, s.Serve(t.Context(), httptest.NewRecorder(), other))
		assert.Equal(t, e.Kind, fault.RequestQuarantined, "the last part may be the cause")
		other = withParts()
		other.Body, other.PromptID = []byte("another"), "another"
		w.engines(defaultEngine, engineAddresses...)
		assert.NilError(t, s.Serve(t.Context(), httptest.NewRecorder(), other))
	})
}

// TestTrialWhoseCallerLeavesCounts guards against trials without an end, each of which crashes a
// target after its caller has left.
func TestTrialWhoseCallerLeavesCounts(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "call": false} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				_, s := crashingEngines()
				for range 2 {
					_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("p"))
				}
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
				defer cancel()
				a := withParts("p")
				a.Route.Stream = stream
				changes, _ := s.opts.Quarantine.LocalChanges(0, time.Now())
				for _, c := range changes {
					c.WantsTrial = true
				}
				s.opts.Quarantine.GrantTrials("self", changes, time.Now())
				assert.Assert(t, s.Serve(ctx, httptest.NewRecorder(), a) != nil)
				time.Sleep(10 * time.Millisecond)
				changes, _ = s.opts.Quarantine.LocalChanges(0, time.Now())
				trials := map[string]uint32{}
				for _, c := range changes {
					trials[c.GetPart()] = c.GetTrials()
				}
				assert.Equal(t, trials["p"], uint32(1), "%v", trials)
			})
		})
	}
}
