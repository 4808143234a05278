package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// maxClosedTime bounds how long a target is kept from requests because of one response.
	maxClosedTime = 10 * time.Minute
	// maxReopenWait is the longest wait of a request for a target that takes requests again.
	maxReopenWait = 300 * time.Millisecond
	// maxUnusableTime is the time after which callers return that were refused although their service has
	// a target that is not closed: it may be usable again.
	maxUnusableTime = time.Second
	// returnSpread is the time over which refused callers of one rank return. Those of the first rank do from
	// when the first target takes requests again, those of each further one after the one before.
	returnSpread = 200 * time.Millisecond
	// returnRanks is the number of ranks; requests with a lower priority are in the last one.
	returnRanks = 3
)

// closing states that a start of a target takes no requests from this VM until a time.
type closing struct {
	instance string
	until    time.Time
	// invalid: the last such response named a time that can't be read, which was logged.
	invalid bool
}

// Close records that a start of the target at address wants no requests from this VM for retryAfter. A
// value that is not above 0 can't be read: it is logged once and ignored.
func (t *Table) Close(address, instance string, retryAfter time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.closed[address]
	if c.instance != instance {
		c = closing{instance: instance}
	}
	if retryAfter <= 0 {
		if !c.invalid {
			t.opts.Logger.Warn(logging.TargetClosed, logging.Fields{"target": address, "instance": instance, "reason": "Retry-After can't be read"})
		}
		c.invalid = true
		t.closed[address] = c
		return
	}
	until := now.Add(min(retryAfter, maxClosedTime))
	if !now.Before(c.until) {
		t.opts.Logger.Warn(logging.TargetClosed, logging.Fields{"target": address, "instance": instance, "ms": until.Sub(now).Milliseconds()})
	}
	if until.After(c.until) {
		c.until = until
	}
	t.closed[address] = c
}

// IsClosed reports whether the target at address takes no requests from this VM.
func (t *Table) IsClosed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isClosed(address, time.Now())
}

// isClosed reports whether the target at address takes no requests from this VM. The caller holds mu.
func (t *Table) isClosed(address string, now time.Time) bool {
	return now.Before(t.closedUntil(address))
}

// closedUntil returns when the target at address takes requests again, or took them; the zero time if the
// listed start has not refused any with a time. The caller holds mu.
func (t *Table) closedUntil(address string) time.Time {
	c := t.closed[address]
	if l, ok := t.listed[address]; ok && l.instance != c.instance {
		return time.Time{}
	}
	return c.until
}

// removeClosings removes the records of targets that are listed no longer and whose time is over. The
// caller holds mu.
func (t *Table) removeClosings(now time.Time) {
	for address, c := range t.closed {
		if l, ok := t.listed[address]; (!ok || l.instance != c.instance) && !now.Before(c.until) {
			delete(t.closed, address)
		}
	}
}

// reopensAt returns when the first of the closed targets of a service takes requests again, whether there
// are any, and whether all are closed. The caller holds mu.
func (t *Table) reopensAt(service string, now time.Time) (at time.Time, some, all bool) {
	all = true
	for address, l := range t.listed {
		if l.service != service {
			continue
		}
		until := t.closedUntil(address)
		if !now.Before(until) {
			all = false
			continue
		}
		if !some || until.Before(at) {
			at, some = until, true
		}
	}
	return at, some, some && all
}

// closedError returns the error for a claim that must not wait until a target of its service takes requests
// again, or nil. If the service has a target that is not closed, the request has found it unusable. The
// caller holds mu.
func (t *Table) closedError(c *Claim, now time.Time) error {
	if c.Class == ClassResume {
		return nil
	}
	at, some, all := t.reopensAt(c.Service, now)
	wait := at.Sub(now)
	switch {
	case !some:
		return nil
	case all:
		if wait <= maxReopenWait && wait.Seconds() <= maxWaitShare*c.Deadline.Sub(now).Seconds() {
			return nil
		}
	default:
		if !c.admitted || now.Sub(c.since) <= maxReopenWait || t.serviceRate(c.Service, now) > 0 {
			return nil
		}
		wait = min(wait, maxUnusableTime)
	}
	t.refused.Inc(1)
	retryAfter := wait + c.returnDelay()
	return fault.New(fault.Overloaded, "no target of service %q takes requests at the moment", c.Service).WithRetryAfter(retryAfter)
}

// returnDelay returns how long after a target takes requests again a refused caller returns: the more urgent
// ones first, and not together.
func (c *Claim) returnDelay() time.Duration {
	rank := min(max(c.Priority, 0), returnRanks-1)
	return time.Duration((float64(rank) + rand.Float64()) * float64(returnSpread))
}

// closedCount returns the number of targets that take no requests from this VM.
func (t *Table) closedCount() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, now := int64(0), time.Now()
	for address := range t.closed {
		if t.isClosed(address, now) {
			n++
		}
	}
	return n
}
