// Package orders brings targets to the versions that the configuration names.
// Only the holder of the order lease sends orders, each with the lease's fencing
// number. Some targets refuse an old number; others ignore it. For those, a
// successor sends nothing until the former holder's lease has run out, with clock
// drift allowed for.
package orders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
)

// Times of the lease.
const (
	// LeaseDuration is how long a holder may send after it proposed a renewal.
	LeaseDuration = 5 * time.Second
	renewInterval = time.Second
	// OrderTimeout bounds one order. A holder sends only if its lease outlasts it.
	OrderTimeout = time.Second
	// driftPercent is by how much a successor waits longer than the lease, because
	// its clock may run faster than the holder's.
	driftPercent = 10
)

// Log is the replicated log as the lease needs it.
type Log interface {
	// Lease returns the lease as applied on this VM.
	Lease() state.Lease
	// ProposeLease commits a renewal by holder, or its take-over of the lease with
	// the expected fencing number, and returns the number in force.
	ProposeLease(ctx context.Context, holder string, duration time.Duration, expected uint64) (fencing uint64, err error)
}

// lease is the lease as its holder keeps it.
type lease struct {
	log Log
	id  string

	fencing uint64
	until   time.Time // by this VM's clock, counted from before the proposal
}

// renew renews the lease, or takes it over once it has run out. While another VM
// may still hold it, renew returns the time to wait and changes nothing.
func (l *lease) renew(ctx context.Context) (wait time.Duration, err error) {
	current := l.log.Lease()
	if current.Holder != l.id && current.Holder != "" {
		if wait = time.Until(current.Seen.Add(successorWait(current.Duration))); wait > 0 {
			return wait, nil
		}
	}
	before := time.Now()
	fencing, err := l.log.ProposeLease(ctx, l.id, LeaseDuration, current.Fencing)
	if err != nil {
		return 0, errors.Trace(err)
	}
	l.fencing = fencing
	l.until = before.Add(LeaseDuration)
	return 0, nil
}

// successorWait is how long after a renewal was seen its holder may send. The
// holder counts from before it proposed the renewal, so it stops earlier.
func successorWait(d time.Duration) time.Duration {
	return d + d*driftPercent/100
}

// covers reports whether the lease is held for at least d from now.
func (l *lease) covers(d time.Duration) bool {
	return time.Now().Add(d).Before(l.until)
}
