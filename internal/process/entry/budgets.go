package entry

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
)

// budgets has the retry budget of each service.
type budgets struct {
	settings RetrySettings
	registry metrics.Registry

	mu        sync.Mutex // guards the fields below
	entries   int
	byService map[string]*retry.Budget
}

func newBudgets(s RetrySettings, registry metrics.Registry) *budgets {
	return &budgets{settings: s, registry: registry, entries: unknownEntries, byService: map[string]*retry.Budget{}}
}

// of returns the budget of a service.
func (b *budgets) of(service string) request.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(retry.Options{Settings: b.settings.budget(b.entries), Registry: b.registry})
		b.byService[service] = budget
	}
	return budget
}

// share splits the bounds anew over the number of entry VMs.
func (b *budgets) share(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entries == b.entries {
		return
	}
	b.entries = entries
	for _, budget := range b.byService {
		budget.Adjust(b.settings.budget(entries))
	}
}
