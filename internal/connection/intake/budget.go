// Package intake bounds what clients outside the deployment's control can make a server hold: the
// memory of their connections, heads and bodies, and the number of connections. It works on the
// bytes that were read, before net/http parses them, because the parser allocates many times what
// it reads.
//
// The load that it is for: several hundred connections at once, most of which send as much as they
// may and never finish, beside a few ordinary callers. When there is no room, reading stops; then
// unfinished requests are refused, those that receive nothing first and large ones before small
// ones, so that ordinary callers are spared.
package intake

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// ErrNoRoom is the error of a request that is given up since there is no memory for it.
var ErrNoRoom = errors.New("no memory for the request")

// Budget is the memory that the clients of a process may use. A reservation that is never released
// bounds it lower than needed, never higher.
type Budget struct {
	total    int64
	registry metrics.Registry
	logger   *logging.Logger // nil for none

	mu       sync.Mutex // guards the fields below, and those of its uses and holds
	reserved int64
	uses     map[string]*Use
	// released is closed and replaced when memory is released.
	released chan struct{}
}

// Use is one kind of use of a budget, with a share of its own.
type Use struct {
	budget *Budget
	limit  int64
	// reserved is at most limit.
	reserved int64
	// unfinished are the holds that may be given up.
	unfinished map[*Hold]bool
	selected   time.Time // when the last one to give up was looked for
}

// NewBudget returns a budget of total bytes. The registry gets a gauge of the bytes that are reserved.
func NewBudget(total int64, registry metrics.Registry) *Budget {
	b := &Budget{total: total, registry: registry, uses: map[string]*Use{}, released: make(chan struct{})}
	metrics.NewRegisteredFunctionalGauge("clients.memory_reserved", registry, b.Reserved)
	return b
}

// Reserved returns the bytes that are reserved.
func (b *Budget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// Use returns the use with the name, which may take the given share of the total. The first call
// for a name sets the share.
func (b *Budget) Use(name string, share float64) *Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.uses[name]; u != nil {
		return u
	}
	u := &Use{budget: b, limit: int64(share * float64(b.total)), unfinished: map[*Hold]bool{}}
	b.uses[name] = u
	metrics.NewRegisteredFunctionalGauge("clients.memory_reserved."+name, b.registry, u.Reserved)
	return u
}

// Reserved returns the bytes that are reserved for this use.
func (u *Use) Reserved() int64 {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.reserved
}

// TryReserve reserves n bytes if there is room.
func (u *Use) TryReserve(n int64) bool {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.tryReserve(n)
}

// tryReserve requires that the caller holds the budget's lock.
func (u *Use) tryReserve(n int64) bool {
	b := u.budget
	// Written as differences, since sums could overflow.
	if n < 0 || n > u.limit-u.reserved || n > b.total-b.reserved {
		return false
	}
	u.reserved += n
	b.reserved += n
	return true
}

// Reserve reserves n bytes, and waits for room until ctx ends. It fails at once if n exceeds the
// share, since there will never be room.
func (u *Use) Reserve(ctx context.Context, n int64) error {
	for {
		u.budget.mu.Lock()
		ok, released := u.tryReserve(n), u.budget.released
		u.budget.mu.Unlock()
		switch {
		case ok:
			return nil
		case n < 0 || n > min(u.limit, u.budget.total):
			return errors.Trace(ErrNoRoom)
		}
		select {
		case <-released:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// Release returns n reserved bytes.
func (u *Use) Release(n int64) {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.release(n)
}

// release requires that the caller holds the budget's lock.
func (u *Use) release(n int64) {
	if n <= 0 {
		return
	}
	u.reserved -= n
	u.budget.reserved -= n
	close(u.budget.released)
	u.budget.released = make(chan struct{})
}
