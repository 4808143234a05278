package soak

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// checkFailuresLogged checks that each request that a process refused or did not
// answer completely is named in its log, unless the process was killed.
func (s *seedRun) checkFailuresLogged() {
	for _, e := range s.testbed.entries {
		named, err := loggedRequests(e.log.Name())
		if err != nil {
			s.history.addViolation("log of %s: %v", e.id, err)
			continue
		}
		s.history.checkLogged(e.id, e.killed, named)
	}
}

// loggedRequests returns the IDs of the requests that the lines of a log file name.
func loggedRequests(file string) (map[string]bool, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	lines, err := logging.ReadLines(f)
	named := map[string]bool{}
	for _, l := range lines {
		named[l.Request()] = true
	}
	return named, err
}

// checkLogged reports the failed requests of an entry VM that its log does not name.
// The set killed holds the numbers of its killed processes, whose last lines may be
// lost.
func (h *history) checkLogged(entry string, killed map[int]bool, named map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		failed := r.status != 0 && !r.served() && !r.cancelled
		if r.entry == entry && r.processStart != 0 && !killed[r.processStart] && failed && !named[r.id] {
			h.addViolationLocked("request %s at %s got status %d, %v, and is missing in the log", r.id, r.entry, r.status, r.err)
		}
	}
}

// TestUnloggedFailuresAreViolations checks that a failed request without a log line is
// a violation unless its process was killed.
func TestUnloggedFailuresAreViolations(t *testing.T) {
	h := newScriptedHistory()
	h.addRequest("look-1", 1, 2, setStatus(503))
	h.addRequest("look-2", 1, 2, setServed(0))
	named := map[string]bool{"look-1": true}
	h.checkLogged("entry 1", nil, named)
	assert.Equal(t, len(h.violations), 0, "%v", h.violations)
	h.addRequest("look-3", 1, 2, setStatus(503))
	h.checkLogged("entry 1", map[int]bool{1: true}, named)
	assert.Equal(t, len(h.violations), 0, "%v", h.violations)
	h.checkLogged("entry 1", nil, named)
	assert.Equal(t, len(h.violations), 1)
}
