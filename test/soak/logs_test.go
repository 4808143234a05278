package soak

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// checkLogs: each request that was refused or not answered whole by a process that was
// not killed has lines that name it.
func (s *soak) checkLogs() {
	for _, e := range s.world.entries {
		named, err := namedRequests(e.log.Name())
		if err != nil {
			s.history.note("log of %s: %v", e.id, err)
			continue
		}
		s.history.checkNamed(e.id, e.killed, named)
	}
}

// namedRequests returns the ids of requests that the lines of a file name.
func namedRequests(file string) (map[string]bool, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // was only read
	lines, err := logging.ReadLines(f)
	named := map[string]bool{}
	for _, l := range lines {
		named[l.Request()] = true
	}
	return named, err
}

// checkNamed notes the failed requests of an entry VM that no line names. Killed has the
// starts of its process whose last lines may be lost.
func (h *history) checkNamed(entry string, killed map[int]bool, named map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		failed := r.status != 0 && !r.served() && !r.left
		if r.entry == entry && r.start != 0 && !killed[r.start] && failed && !named[r.id] {
			h.find("request %s at %s got status %d, %v, and no line names it", r.id, r.entry, r.status, r.err)
		}
	}
}

// TestFailedRequestsWithoutLinesAreFound, but for those of a process that was killed.
func TestFailedRequestsWithoutLinesAreFound(t *testing.T) {
	d := newDay()
	d.request("look-1", 1, 2, status(503))
	d.request("look-2", 1, 2, served(0))
	named := map[string]bool{"look-1": true}
	d.checkNamed("entry 1", nil, named)
	assert.Equal(t, len(d.findings), 0, "%v", d.findings)
	d.request("look-3", 1, 2, status(503))
	d.checkNamed("entry 1", map[int]bool{1: true}, named)
	assert.Equal(t, len(d.findings), 0, "%v", d.findings)
	d.checkNamed("entry 1", nil, named)
	assert.Equal(t, len(d.findings), 1)
}
