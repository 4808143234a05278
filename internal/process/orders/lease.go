// Package orders makes targets load the versions that the configuration names. Only the
// holder of the order lease sends orders, each with the lease's fencing number. Some
// targets reject an outdated fencing number; others ignore it. Because of the latter, a
// successor sends nothing until the former holder's lease has expired, with a margin
// for clock drift.
package orders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
)

// Timing of the lease.
const (
	// LeaseDuration is how long a holder may send orders after it proposed a renewal.
	LeaseDuration = 5 * time.Second
	renewInterval = time.Second
	// OrderTimeout limits one order. A holder sends an order only if its lease outlasts
	// the timeout.
	OrderTimeout = time.Second
	// clockDriftPercent is how much longer than the lease duration a successor waits,
	// because its clock may run faster than the holder's.
	clockDriftPercent = 10
)

// LeaseLog provides the lease operations of the replicated log.
type LeaseLog interface {
	// Lease returns the lease as applied on this VM.
	Lease() state.Lease
	// ProposeLease commits a renewal by holder, or its takeover of the lease with the
	// expected fencing number, and returns the fencing number in force.
	ProposeLease(ctx context.Context, holder string, duration time.Duration, expected uint64) (fencing uint64, err error)
}

// lease is the order lease as tracked by its holder.
type lease struct {
	log LeaseLog
	id  string

	fencing   uint64
	expiresAt time.Time // by this VM's clock, counted from before the proposal
}

// renew renews the lease, or takes it over after it has expired. While another VM may
// still hold it, renew returns the time to wait and changes nothing.
func (l *lease) renew(ctx context.Context) (wait time.Duration, err error) {
	current := l.log.Lease()
	if current.Holder != l.id && current.Holder != "" {
		if wait = time.Until(current.AppliedAt.Add(takeoverDelay(current.Duration))); wait > 0 {
			return wait, nil
		}
	}
	before := time.Now()
	fencing, err := l.log.ProposeLease(ctx, l.id, LeaseDuration, current.Fencing)
	if err != nil {
		return 0, errors.Trace(err)
	}
	l.fencing = fencing
	l.expiresAt = before.Add(LeaseDuration)
	return 0, nil
}

// takeoverDelay returns how long after applying a renewal a successor must assume that
// its holder still sends orders. The holder counts from before it proposed the renewal,
// so it stops earlier.
func takeoverDelay(d time.Duration) time.Duration {
	return d + d*clockDriftPercent/100
}

// validFor reports whether the lease is held for at least d from now.
func (l *lease) validFor(d time.Duration) bool {
	return time.Now().Add(d).Before(l.expiresAt)
}
