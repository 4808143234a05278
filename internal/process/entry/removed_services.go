package entry

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// removedServices are the services that a later configuration removed, by name. Requests that
// were admitted before may run until their deadlines, and need another target if theirs is lost.
type removedServices map[string]removedService

type removedService struct {
	service *declared.Service
	// until is when the last request that was admitted before has reached its deadline.
	until time.Time
}

// update records which services current removes and adds. previous may be nil.
func (m removedServices) update(previous, current *declared.View, now time.Time) {
	for _, s := range current.Configuration().Services {
		delete(m, s.Name)
	}
	if previous == nil {
		return
	}
	until := now.Add(longestTimeout(previous.Configuration()))
	services := previous.Configuration().Services
	for i := range services {
		if current.Service(services[i].Name) == nil {
			m[services[i].Name] = removedService{service: &services[i], until: until}
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
func (m removedServices) expire(now time.Time) {
	for name, s := range m {
		if now.After(s.until) {
			delete(m, name)
		}
	}
}

// service returns the removed service with the name, or nil.
func (m removedServices) service(name string) *declared.Service { return m[name].service }
