package entry

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
)

// budgets has the retry budget of each service.
type budgets struct {
	settings RetrySettings
	registry metrics.Registry

	mu        sync.Mutex // guards the fields below
	entries   int
	byService map[string]*retry.Shared
}

func newBudgets(s RetrySettings, registry metrics.Registry) *budgets {
	return &budgets{settings: s, registry: registry, entries: unknownEntries, byService: map[string]*retry.Shared{}}
}

// of returns the budget of a service.
func (b *budgets) of(service string) request.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		own := retry.NewBudget(retry.Options{Settings: b.settings.bound().Own(b.entries), Registry: b.registry})
		budget = retry.NewShared(b.settings.bound(), own)
		b.byService[service] = budget
	}
	return budget
}

// uses returns what this entry VM sent to each service.
func (b *budgets) uses() []*chicoryv1.ServiceUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*chicoryv1.ServiceUse
	for service, budget := range b.byService {
		if u := budget.Own(); u != (retry.Use{}) {
			out = append(out, &chicoryv1.ServiceUse{
				Service: service, Requests: uint32(u.Requests), FurtherAttempts: uint32(u.Further),
			})
		}
	}
	return out
}

// setOthers takes in what the other entry VMs sent to each service, and splits the
// bounds anew over the number of entry VMs.
func (b *budgets) setOthers(uses []*chicoryv1.ServiceUse, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byService := map[string]retry.Use{}
	for _, u := range uses {
		byService[u.GetService()] = retry.Use{Requests: int(u.GetRequests()), Further: int(u.GetFurtherAttempts())}
	}
	for service, budget := range b.byService {
		budget.SetOthers(byService[service], entries)
	}
	if entries == b.entries || entries == 0 {
		return
	}
	b.entries = entries
	for _, budget := range b.byService {
		budget.Adjust(b.settings.bound().Own(entries))
	}
}
