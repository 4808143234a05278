package entry

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
)

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	settings RetrySettings
	registry metrics.Registry

	mu        sync.Mutex // guards the fields below
	entryVMs  int
	byService map[string]*retry.SharedBudget
}

func newRetryBudgets(s RetrySettings, registry metrics.Registry) *retryBudgets {
	return &retryBudgets{settings: s, registry: registry, entryVMs: defaultEntryVMs, byService: map[string]*retry.SharedBudget{}}
}

// forService returns the retry budget of a service.
func (b *retryBudgets) forService(service string) request.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		localBudget := retry.NewBudget(retry.Options{Settings: b.settings.bound().LocalSettings(b.entryVMs), Registry: b.registry})
		budget = retry.NewSharedBudget(b.settings.bound(), localBudget)
		b.byService[service] = budget
	}
	return budget
}

// localUsage returns what this entry VM sent to each service.
func (b *retryBudgets) localUsage() []*chicoryv1.ServiceUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*chicoryv1.ServiceUse
	for service, budget := range b.byService {
		if u := budget.LocalUsage(); u != (retry.Usage{}) {
			out = append(out, &chicoryv1.ServiceUse{
				Service: service, Requests: uint32(u.Requests), FurtherAttempts: uint32(u.FurtherAttempts),
			})
		}
	}
	return out
}

// setRemoteUsage sets what the other entry VMs sent to each service, and divides the
// bounds again when the number of entry VMs has changed.
func (b *retryBudgets) setRemoteUsage(uses []*chicoryv1.ServiceUse, entryVMs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byService := map[string]retry.Usage{}
	for _, u := range uses {
		byService[u.GetService()] = retry.Usage{Requests: int(u.GetRequests()), FurtherAttempts: int(u.GetFurtherAttempts())}
	}
	for service, budget := range b.byService {
		budget.SetRemoteUsage(byService[service], entryVMs)
	}
	if entryVMs == b.entryVMs || entryVMs == 0 {
		return
	}
	b.entryVMs = entryVMs
	for _, budget := range b.byService {
		budget.UpdateSettings(b.settings.bound().LocalSettings(entryVMs))
	}
}
