package exchange

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// priorities returns a holder of a configuration whose two routes to service "s" have the given priorities.
func priorities(first, second int) *declared.Holder {
	h := &declared.Holder{}
	to := []declared.WeightedService{{Service: "s", Weight: 1}}
	h.Update(&declared.Configuration{Version: 1, Routes: []declared.Route{
		{Name: "first", PathPrefix: "/first/", Priority: first, Services: to},
		{Name: "second", PathPrefix: "/second/", Priority: second, Services: to},
	}})
	return h
}

// TestPriorityIsStatedToEngines guards against a stream that an engine takes in another order than entry VMs
// do: a stream whose response has begun is stated as the most urgent, also at the next engine, and nothing is
// stated where all routes have the same priority.
func TestPriorityIsStatedToEngines(t *testing.T) {
	for name, c := range map[string]struct {
		holder          *declared.Holder
		priority, event int
		want            []string
	}{
		"no configuration":      {nil, 1, 0, []string{"", ""}},
		"the same priority":     {priorities(2, 2), 2, 0, []string{"", ""}},
		"highest":               {priorities(0, 2), 0, 0, []string{"1", "0"}},
		"lower":                 {priorities(0, 2), 2, 0, []string{"3", "0"}},
		"beyond the range":      {priorities(0, 200), 200, 0, []string{"9", "0"}},
		"caller that continues": {priorities(0, 2), 2, 3, []string{"0", "0"}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				e := defaultEngine
				e.dieAfter = 8
				var mu sync.Mutex // guards got
				var got []string
				for address, x := range w.engines(e, "a", "b", "c") {
					w.set(address, func(c net.Conn, r *http.Request) {
						mu.Lock()
						got = append(got, r.Header.Get("Priority"))
						mu.Unlock()
						x.serve(c, r)
					})
				}
				s, _ := w.service(unlimitedBudget{}, "a", "b", "c")
				s.opts.Declared = c.holder
				a := admitted(declared.Resumable, true)
				a.Priority, a.LastEventID = c.priority, c.event
				assert.NilError(t, s.Serve(t.Context(), httptest.NewRecorder(), a))
				assert.Assert(t, len(got) >= 2)
				assert.DeepEqual(t, got[:2], c.want)
			})
		})
	}
}

// TestCallsStateNoPriorityToReplicas guards against a header at the targets of services without engines.
func TestCallsStateNoPriorityToReplicas(t *testing.T) {
	w := newTestNetwork()
	s, _ := w.service(unlimitedBudget{}, "a")
	s.opts.Declared = priorities(0, 2)
	a := admitted(declared.Retryable, false)
	assert.Equal(t, *s.statedPriority(a, false), 1)
	a.Service = &declared.Service{Name: "s"}
	assert.Assert(t, s.statedPriority(a, false) == nil)
}
