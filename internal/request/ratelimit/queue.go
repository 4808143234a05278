package ratelimit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

const (
	// demandLifetime and grantLifetime are the times over which demand and grants are averaged.
	demandLifetime = 2 * time.Second
	grantLifetime  = 1500 * time.Millisecond
	// servedLifetime is the time for which an earlier permit of a class or team counts.
	servedLifetime = 5 * time.Second
	// recheckInterval is the time after which a request that waits tries again to find a target
	// without a limit.
	recheckInterval = 200 * time.Millisecond
	// maxWaitShare is the share of the time left that a request may expect to wait, so that it
	// can still be served in time.
	maxWaitShare = 0.5
	// minWait is the time in which a permit can arrive: permits are requested and granted every
	// tenth of a second.
	minWait = 300 * time.Millisecond
)

// Class is the importance of a request.
type Class int

// The classes, the most important first.
const (
	// ClassResume continues a stream that has begun. It precedes all others.
	ClassResume Class = iota
	// ClassAtMostOnce must not be repeated by its caller.
	ClassAtMostOnce
	// ClassOther is any other request.
	ClassOther
	classes
)

// classWeights divide the permits between the classes without precedence.
var classWeights = [classes]float64{ClassAtMostOnce: 3, ClassOther: 1}

// Claim is a request for a permit for any target of a service. It is used by one goroutine.
type Claim struct {
	Service, Team string
	Class         Class
	// Priority orders the return of callers that are refused; 0 returns first.
	Priority int
	Deadline time.Time

	// admitted: Await has decided that the request may wait.
	admitted bool
	since    time.Time
	// openings is the number of openings when the request last joined a queue or tried again.
	openings uint64
	// offered is the address of the last permit, declined when permits were given back, by address.
	offered  string
	declined map[string]time.Time
}

// recordDeclined records that the last permit was given back: the request waits again.
func (c *Claim) recordDeclined(now time.Time) {
	if c.offered == "" {
		return
	}
	if c.declined == nil {
		c.declined = map[string]time.Time{}
	}
	c.declined[c.offered], c.offered = now, ""
}

// takes reports whether the request may use a permit for the target at address: it has given back
// none lately.
func (c *Claim) takes(address string, now time.Time) bool {
	at, ok := c.declined[address]
	return !ok || now.Sub(at) >= recheckInterval
}

// waiter is a claim that waits. ready receives the address of the target that the permit is
// for, or "" if the request may try again to find a target without a limit.
type waiter struct {
	*Claim
	ready chan string
}

// queue holds the requests that wait for a target of one service, in the order of their claims.
type queue struct {
	waiters []*waiter
	byClass [classes]int
	served  [classes]decayed
	byTeam  map[teamClass]*decayed
}

type teamClass struct {
	team  string
	class Class
}

// Await waits for a permit. It returns the address of the target that the permit is for, or ""
// if a target without a limit may be available. The permit must be used or given back with
// Return. It fails with the kind Overloaded if the request can't expect a permit in time or no target
// takes requests now, and with the error of ctx.
func (t *Table) Await(ctx context.Context, c *Claim) (address string, err error) {
	w, err := t.join(c)
	if w == nil {
		return "", err
	}
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case address = <-w.ready:
	case <-timer.C:
		address = t.leave(w)
	case <-ctx.Done():
		address = t.leave(w)
	}
	if ctx.Err() == nil {
		c.offered = address
		return address, nil
	}
	if address != "" {
		t.Return(address)
	}
	return "", ctx.Err()
}

// join adds a claim to its queue unless it can't expect a permit in time. It returns nil if the
// request may try again to find a target: there was an opening after it found none.
func (t *Table) join(c *Claim) (*waiter, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	c.recordDeclined(now)
	if c.openings != t.openings {
		c.openings = t.openings
		return nil, nil
	}
	if err := t.closedError(c, now); err != nil {
		return nil, err
	}
	q := t.queues[c.Service]
	if q == nil {
		q = &queue{byTeam: map[teamClass]*decayed{}}
		t.queues[c.Service] = q
	}
	if !c.admitted {
		if wait, ok := t.mayWait(q, c, now); !ok {
			t.refused.Inc(1)
			retryAfter := time.Duration((0.5 + rand.Float64()) * float64(wait))
			return nil, fault.New(fault.Overloaded, "the targets of service %q take fewer requests than there are", c.Service).WithRetryAfter(retryAfter)
		}
		t.waited.Inc(1)
		c.admitted, c.since = true, now
	}
	w := &waiter{Claim: c, ready: make(chan string, 1)}
	q.add(w)
	return w, nil
}

// leave removes a waiter and returns the address of the target that it has a permit for.
func (t *Table) leave(w *waiter) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queues[w.Service].remove(w)
	select {
	case address := <-w.ready:
		return address
	default:
		return ""
	}
}

// mayWait reports whether a claim may wait, and the expected wait. The caller holds mu.
func (t *Table) mayWait(q *queue, c *Claim, now time.Time) (wait time.Duration, ok bool) {
	rate := t.serviceRate(c.Service, now)
	if rate == 0 {
		return recheckInterval, true // the limits have just ended
	}
	ahead := 1 + q.byClass[ClassResume]
	if c.Class != ClassResume {
		rate *= q.share(c.Class)
		ahead += q.byClass[c.Class]
	}
	wait = time.Duration(float64(ahead) / rate * float64(time.Second))
	left := c.Deadline.Sub(now)
	switch {
	case c.Class == ClassResume:
		return wait, true
	case left < minWait:
		return wait, false
	case q.byClass[c.Class] == 0:
		return wait, true // keeps asking for permits, whose number is the best estimate
	}
	return wait, wait.Seconds() <= maxWaitShare*left.Seconds()
}

// serviceRate is the rate at which this VM can expect permits for the targets of a service. The
// caller holds mu.
func (t *Table) serviceRate(service string, now time.Time) float64 {
	rate := 0.0
	for _, address := range t.limitedTargets(service, now) {
		rate += t.expectedRate(t.targets[address], now)
	}
	return rate
}

// limitedTargets returns the addresses of a service's limited targets that take requests now. The caller
// holds mu.
func (t *Table) limitedTargets(service string, now time.Time) []string {
	var addresses []string
	for address := range t.targets {
		if l, ok := t.listed[address]; ok && l.service == service && t.limited(address, now) != nil && !t.isClosed(address, now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// wakeAll lets all requests that wait for a service try again. The caller holds mu.
func (t *Table) wakeAll(service string) {
	t.openings++
	q := t.queues[service]
	if q == nil {
		return
	}
	for _, w := range q.waiters {
		w.ready <- ""
	}
	q.waiters, q.byClass = nil, [classes]int{}
}

// share is the part of the permits that a class gets beside those that wait.
func (q *queue) share(c Class) float64 {
	sum := 0.0
	for other, weight := range classWeights {
		if Class(other) == c || q.byClass[other] > 0 {
			sum += weight
		}
	}
	return classWeights[c] / sum
}

func (q *queue) add(w *waiter) {
	i := len(q.waiters)
	for i > 0 && w.since.Before(q.waiters[i-1].since) {
		i--
	}
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = w
	q.byClass[w.Class]++
}

// remove removes a waiter if it is in the queue.
func (q *queue) remove(w *waiter) {
	for i, x := range q.waiters {
		if x == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			q.byClass[w.Class]--
			return
		}
	}
}

// takeFirst removes and returns the waiter that gets the next permit for the target at address, or
// nil if there is none: resumptions first, then by the weights of the classes, the teams of a class
// in turn, and those of a team in the order of their claims.
func (q *queue) takeFirst(address string, now time.Time) *waiter {
	var first *waiter
	for _, w := range q.waiters {
		if w.takes(address, now) && (first == nil || q.precedes(w, first, now)) {
			first = w
		}
	}
	if first == nil {
		return nil
	}
	q.remove(first)
	q.served[first.Class].add(1, now, servedLifetime)
	q.teamServed(first).add(1, now, servedLifetime)
	return first
}

// precedes reports whether w gets a permit before first, whose claim is older.
func (q *queue) precedes(w, first *waiter, now time.Time) bool {
	if w.Class != first.Class {
		if w.Class == ClassResume || first.Class == ClassResume {
			return w.Class == ClassResume
		}
		return q.served[w.Class].value(now, servedLifetime)/classWeights[w.Class] <
			q.served[first.Class].value(now, servedLifetime)/classWeights[first.Class]
	}
	return w.Team != first.Team && q.teamServed(w).value(now, servedLifetime) < q.teamServed(first).value(now, servedLifetime)
}

// teamServed returns the permits of the waiter's team and class.
func (q *queue) teamServed(w *waiter) *decayed {
	key := teamClass{w.Team, w.Class}
	d := q.byTeam[key]
	if d == nil {
		d = &decayed{}
		q.byTeam[key] = d
	}
	return d
}
