package quarantine

import (
	"context"
	"slices"
	"time"
)

const (
	// otherCauses is the number of losses of a key that need no explanation: targets are also
	// lost for reasons that no key explains.
	otherCauses = 1
	// maxExplained is the number of losses from which a key is not explained by one whose
	// requests were answered before: a request that was sound may crash targets later.
	maxExplained = minLosses + 2
	// othersFirst is the time for which a request is no trial of a key if another of its keys is likelier to
	// crash targets: time for another VM to be granted the trial and to use it.
	othersFirst = grantLifetime
	// reportTime is the time after a loss by which this VM knows what other VMs report of it: a report
	// goes to the leader and comes back with two of the exchanges, up to 100 ms apart each.
	reportTime = 300 * time.Millisecond
)

// Admission is the result of a check.
type Admission struct {
	// Refused: the request contains keys in quarantine. A further one is useful after Wait.
	Refused bool
	Wait    time.Duration
	// Trial: the request contains keys in quarantine, and may be sent to one target. Its answer
	// shows whether one still crashes targets. RecordTrial or CancelTrial must be called with
	// Keys.
	Trial bool
	// Keys are the keys in quarantine or on trial. At least one of them crashes targets, or did.
	Keys []string
	// trialDue is when the request may be a trial of all Keys.
	trialDue time.Time
	// Unsettled is how long reports of other VMs may still come that explain the losses of Keys.
	Unsettled time.Duration
}

// Admit checks a request that contains keys. If it is refused and might be a trial, this VM asks
// the leader for one.
func (t *Table) Admit(keys []string, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.check(keys, now)
	for _, key := range a.Keys {
		r := t.keys[key]
		switch {
		case a.Trial:
			r.admittedAt = now
		case !now.Before(a.trialDue) && now.Sub(r.wantedAt) >= wantInterval:
			r.wantedAt = now
			t.touch(r)
		}
	}
	return a
}

// RecordTrial records that a target has received a request with keys that was admitted as a
// trial.
func (t *Table) RecordTrial(keys []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if r := t.keys[key]; r != nil {
			r.trials, r.trialAt, r.grantedTo, r.admittedAt = r.trials+1, now, "", time.Time{}
			t.touch(r)
		}
	}
}

// IsLost reports whether a target start was lost lately with a request that contains one of the
// keys. A trial there would show nothing.
func (t *Table) IsLost(target Target, keys []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(keys, func(key string) bool {
		r := t.keys[key]
		return r != nil && slices.ContainsFunc(r.losses, func(l loss) bool { return l.target.isSameStart(target) && now.Sub(l.at) < listDelay })
	})
}

// CancelTrial ends a trial that no target has received: another request may be admitted instead.
func (t *Table) CancelTrial(keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if r := t.keys[key]; r != nil {
			r.admittedAt = time.Time{}
		}
	}
}

// Check is Admit for a request that is already at a target: it begins no trial.
func (t *Table) Check(keys []string, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(keys, now)
}

// AwaitRefusal waits until a request that contains keys is refused. It returns false if
// ctx ends first.
func (t *Table) AwaitRefusal(ctx context.Context, keys []string) (Admission, bool) {
	for {
		t.mu.Lock()
		a, changed := t.check(keys, time.Now()), t.changed
		t.mu.Unlock()
		if a.Refused {
			return a, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Admission{}, false
		}
	}
}

// check returns the admission of a request that contains keys. The caller holds mu.
func (t *Table) check(keys []string, now time.Time) Admission {
	var a Admission
	for _, key := range keys {
		if r := t.suspects[key]; r != nil && len(t.distinct(key, r)) >= minLosses && !t.isExplained(key, r, keys) {
			a.Keys = append(a.Keys, key)
		}
	}
	if len(a.Keys) == 0 {
		return a
	}
	isGranted := true
	released := t.releasedAt(keys)
	for _, key := range a.Keys {
		a.trialDue = later(a.trialDue, t.trialDue(key, keys, released))
		a.Unsettled = max(a.Unsettled, t.suspects[key].lastChange().Add(reportTime).Sub(now))
		isGranted = isGranted && t.mayTry(t.suspects[key], now)
	}
	if isGranted && !now.Before(a.trialDue) {
		a.Trial = true
		return a
	}
	wait := max(a.trialDue.Sub(now), wantInterval)
	a.Refused, a.Wait = true, time.Duration((1+t.opts.Random()/2)*float64(wait))
	return a
}

// trialDue is when a request with keys, the last of which left quarantine at released, may be a trial of one
// of them. If another one of them is likelier to crash targets, other requests with the key go first: they
// show whether it is sound. They may have had to wait for the released key. The caller holds mu.
func (t *Table) trialDue(key string, keys []string, released time.Time) time.Time {
	r := t.suspects[key]
	for _, other := range keys {
		if q := t.suspects[other]; q != nil && t.isLikelier(other, q, key, r) {
			return later(r.trialDue(), released).Add(othersFirst)
		}
	}
	return r.trialDue()
}

// isLikelier reports whether, of two keys of a request, that of q is likelier to crash targets than that of r:
// r was answered in requests without it, or is also lost in such. The caller holds mu.
func (t *Table) isLikelier(qKey string, q *record, rKey string, r *record) bool {
	if a, b := t.lastBegun(qKey, q), t.lastBegun(rKey, r); !a.Equal(b) {
		return a.Before(b)
	}
	return q.isOnlyIn(r) && !r.isOnlyIn(q)
}

// releasedAt is when the last one of keys left quarantine. The caller holds mu.
func (t *Table) releasedAt(keys []string) time.Time {
	var last time.Time
	for _, key := range keys {
		if r := t.keys[key]; r != nil {
			last = later(last, r.releasedAt)
		}
	}
	return last
}

// mayTry reports whether this VM may admit a trial now.
func (t *Table) mayTry(r *record, now time.Time) bool {
	return r.grantedTo == t.opts.ID && t.opts.ID != "" && now.Sub(r.grantedAt) < grantLifetime && r.admittedAt.IsZero()
}

// trialDue is when a trial is due. After maxTrials, it is when the losses are forgotten.
func (r *record) trialDue() time.Time {
	lost := 0
	for _, l := range r.losses {
		if l.trial {
			lost++
		}
	}
	last := r.losses[len(r.losses)-1].at
	if r.trials >= maxTrials || lost >= maxTrials {
		return last.Add(retention)
	}
	return later(last.Add(periods[lost]), r.trialAt.Add(undecidedPeriod))
}

// isExplained reports whether other keys that are not in the request explain the losses of r,
// the record of key. One does if it has nearly all of them, and either was always in the same
// requests, so that a request with one of the two shows which it is, or is more suspect. Several
// do if they were lost only in requests with the key. The caller holds mu.
func (t *Table) isExplained(key string, r *record, request []string) bool {
	losses := t.distinct(key, r)
	var together []*record
	for other, q := range t.suspects {
		if q == r || slices.Contains(request, other) {
			continue
		}
		if q.isOnlyIn(r) {
			together = append(together, q)
		} else if len(losses) <= maxExplained && hasNearly(losses, q) && t.isMoreSuspect(other, q, key, r) {
			return true
		}
	}
	return hasNearly(losses, together...)
}

// isMoreSuspect reports whether q, with about the same losses as r, is more likely to crash targets:
// its requests have not been answered for longer or, if none ever was, it has more losses. Of two with as
// many, it is the one that several requests share: one that is retried may have come to the targets
// that the other one crashed. The caller holds mu.
func (t *Table) isMoreSuspect(qKey string, q *record, rKey string, r *record) bool {
	if a, b := t.lastBegun(qKey, q), t.lastBegun(rKey, r); !a.Equal(b) {
		return a.Before(b)
	}
	if a, b := len(t.distinct(qKey, q)), len(t.distinct(rKey, r)); a != b {
		return a > b
	}
	return t.opts.IsShared(qKey) && !t.opts.IsShared(rKey)
}

// isOnlyIn reports whether all requests that were lost with the key of r have the key of q.
func (r *record) isOnlyIn(q *record) bool {
	for _, l := range r.losses {
		inQ := q.find(l)
		if inQ == nil || slices.ContainsFunc(l.requests, func(request uint64) bool { return !inQ.has(request) }) {
			return false
		}
	}
	return true
}

// hasNearly reports whether each loss but otherCauses is in one of the records as well.
func hasNearly(losses []loss, records ...*record) bool {
	n := 0
	for _, l := range losses {
		if slices.ContainsFunc(records, func(r *record) bool { return r.find(l) != nil }) {
			n++
		}
	}
	return n >= len(losses)-otherCauses
}

// lastBegun is when an answer to a request with the key last began, as far as this VM knows.
func (t *Table) lastBegun(key string, r *record) time.Time {
	return later(t.begins.get(key), r.begunAt)
}

// distinct returns the losses of a key without those that may have a common cause with an earlier
// one: they coincide with it, in the same availability zone, and the request was sent before. A
// sound key with requests at several targets at once is popular, and was answered before; without
// an answer, all losses count. The caller holds mu.
func (t *Table) distinct(key string, r *record) []loss {
	if t.lastBegun(key, r).IsZero() {
		return r.losses
	}
	var counted []loss
	for _, l := range r.losses {
		if !slices.ContainsFunc(counted, l.coincides) {
			counted = append(counted, l)
		}
	}
	return counted
}

// coincides reports whether l may have a common cause with an earlier loss.
func (l loss) coincides(earlier loss) bool {
	return l.at.Sub(earlier.at) < coincidence && !l.follows(earlier) && l.target.AvailabilityZone == earlier.target.AvailabilityZone
}
