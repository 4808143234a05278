package main

import (
	"os"
	"strings"
)

// checkLogs: each request that was refused or not answered whole by a process that was
// not killed has lines that name it.
func (s *soak) checkLogs() {
	for _, e := range s.world.entries {
		data, err := os.ReadFile(e.log.Name())
		if err != nil {
			s.history.note("log of %s: %v", e.id, err)
			continue
		}
		named := namedRequests(string(data))
		s.history.mu.Lock()
		for _, r := range s.history.requests {
			failed := r.status != 0 && !r.served() && !r.left
			if r.entry == e.id && r.start != 0 && !e.killed[r.start] && failed && !named[r.id] {
				s.history.find("request %s at %s got status %d, %v, and no line names it", r.id, r.entry, r.status, r.err)
			}
		}
		s.history.mu.Unlock()
	}
}

// namedRequests returns the ids of requests that lines name.
func namedRequests(log string) map[string]bool {
	const field = "request="
	named := map[string]bool{}
	for line := range strings.Lines(log) {
		if _, rest, ok := strings.Cut(line, field); ok {
			id, _, _ := strings.Cut(rest, " ")
			named[strings.Trim(id, "\"\n")] = true
		}
	}
	return named
}
