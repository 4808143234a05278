package exchange

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// useSpeeds gives the service estimates for the targets at addresses.
func (s *Service) useSpeeds(addresses ...string) *speed.Table {
	s.opts.Speeds = speed.NewTable()
	s.opts.Engines.SetSpeeds(s.opts.Speeds)
	var listed []*chicoryv1.ListedTarget
	for _, address := range addresses {
		listed = append(listed, &chicoryv1.ListedTarget{Address: address, Instance: "i-" + address, Service: "s"})
	}
	s.opts.Speeds.Update(listed)
	return s.opts.Speeds
}

// TestSlowEngineIsNotTakenForSilent guards against streams that leave an engine, and prompts that
// are processed twice, because the engine takes longer than usual to the first event.
func TestSlowEngineIsNotTakenForSilent(t *testing.T) {
	for _, test := range []struct {
		name    string
		percent uint32
		runs    int
	}{{"usual engines", 100, 2}, {"slow engines", 250, 1}} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				for _, address := range []string{"x1", "x2"} {
					w.set(address, func(c net.Conn, r *http.Request) {
						e := &engine{w: w, first: 100 * time.Millisecond, gap: 30 * time.Millisecond, total: 5}
						if w.runs() == 0 {
							e.first = 2500 * time.Millisecond // usual engines are probed after 1.6 s
						}
						e.serve(c, r)
					})
				}
				s, _ := w.service(unlimitedBudget{}, "x1", "x2")
				var shared []*chicoryv1.TargetSpeed
				for _, address := range []string{"x1", "x2"} {
					shared = append(shared, &chicoryv1.TargetSpeed{Address: address, Instance: "i-" + address, Percent: test.percent, Weight: 32})
				}
				s.useSpeeds("x1", "x2").MergeRemote(shared, time.Now())
				rec := httptest.NewRecorder()
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
				assert.Equal(t, rec.Body.String(), streamText(5))
				assert.Equal(t, w.runs(), test.runs)
			})
		})
	}
}

// TestStreamsShowTheSpeedOfEngines guards against observations of streams that do not reach the
// estimates, and against estimates where no engine states its pace.
func TestStreamsShowTheSpeedOfEngines(t *testing.T) {
	for _, test := range []struct{ name, header string }{{"states its pace", "Pace: 100\r\n"}, {"states nothing", ""}} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				addresses := []string{"x1", "x2", "x3"}
				for i, address := range addresses {
					e := &engine{w: w, first: 500 * time.Millisecond, gap: 30 * time.Millisecond, total: 100, header: test.header}
					if i == 2 {
						e.first, e.gap = 800*time.Millisecond, 48*time.Millisecond
					}
					w.set(address, e.serve)
				}
				s, _ := w.service(unlimitedBudget{}, addresses...)
				speeds := s.useSpeeds(addresses...)
				for range 4 {
					for _, address := range addresses {
						s.list(address)
						assert.NilError(t, s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.Resumable, true)))
					}
				}
				slow, usual := speeds.Factor("x3", "i-x3", time.Now()), speeds.Factor("x1", "i-x1", time.Now())
				if test.header == "" {
					assert.Equal(t, slow, 1.0)
					assert.Equal(t, usual, 1.0)
					return
				}
				assert.Assert(t, slow > 1.3 && usual < 1.1, "%v and %v", slow, usual)
			})
		})
	}
}

// TestCallsShowTheSpeedOfTargets guards against durations of calls that do not reach the estimates.
func TestCallsShowTheSpeedOfTargets(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		addresses := []string{"x1", "x2", "x3"}
		s, _ := w.service(unlimitedBudget{}, addresses...)
		speeds := s.useSpeeds(addresses...)
		for range 60 {
			for i, address := range addresses {
				w.set(address, func(c net.Conn, _ *http.Request) {
					time.Sleep(time.Duration(20+12*(i/2)) * time.Millisecond)
					writeAnswer(c, 200, signedBy+"Pace: 100\r\n", "done")
				})
				s.opts.Picker = orderedPicker{address}
				time.Sleep(100 * time.Millisecond)
				assert.NilError(t, s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.Retryable, false)))
			}
		}
		slow, usual := speeds.Factor("x3", "i-x3", time.Now()), speeds.Factor("x1", "i-x1", time.Now())
		assert.Assert(t, slow > 1.3 && usual < 1.1, "%v and %v", slow, usual)
	})
}
