package entry

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// removedServices are the services that a later configuration removed. Requests that were
// admitted before may run until their deadlines, and need another target if theirs is lost.
type removedServices struct {
	byName map[string]removedService
	// admittedUntil is when the last request that an earlier configuration admitted has reached
	// its deadline. The last of them may have had shorter timeouts than those before.
	admittedUntil time.Time
}

type removedService struct {
	service *declared.Service
	// until is when the last request that was admitted before has reached its deadline.
	until time.Time
}

// update records which services current removes and adds. previous may be nil.
func (m *removedServices) update(previous, current *declared.View, now time.Time) {
	for _, s := range current.Configuration().Services {
		delete(m.byName, s.Name)
	}
	if previous == nil {
		return
	}
	if until := now.Add(longestTimeout(previous.Configuration())); until.After(m.admittedUntil) {
		m.admittedUntil = until
	}
	services := previous.Configuration().Services
	for i := range services {
		if current.Service(services[i].Name) == nil {
			m.byName[services[i].Name] = removedService{service: &services[i], until: m.admittedUntil}
		}
	}
}

func longestTimeout(c *declared.Configuration) time.Duration {
	longest := time.Duration(0)
	for _, r := range c.Routes {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// expire drops the services that no request can use any more.
func (m *removedServices) expire(now time.Time) {
	for name, s := range m.byName {
		if now.After(s.until) {
			delete(m.byName, name)
		}
	}
}

// hasExpired reports whether expire would drop a service.
func (m *removedServices) hasExpired(now time.Time) bool {
	for _, s := range m.byName {
		if now.After(s.until) {
			return true
		}
	}
	return false
}

// service returns the removed service with the name, or nil.
func (m *removedServices) service(name string) *declared.Service { return m.byName[name].service }
