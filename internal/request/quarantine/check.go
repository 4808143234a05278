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
		case !now.Before(r.trialDue()) && now.Sub(r.wantedAt) >= wantInterval:
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
	trial := true
	for _, key := range keys {
		r := t.suspects[key]
		if r == nil || len(t.distinct(key, r)) < minLosses || t.isExplained(key, r, keys) {
			continue
		}
		a.Keys = append(a.Keys, key)
		a.Wait = max(a.Wait, r.wait(now))
		trial = trial && t.mayTry(r, now)
	}
	switch {
	case len(a.Keys) == 0:
		return a
	case trial:
		return Admission{Trial: true, Keys: a.Keys}
	}
	a.Refused, a.Wait = true, time.Duration((1+t.opts.Random()/2)*float64(a.Wait))
	return a
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

// wait is the time until a further request is useful.
func (r *record) wait(now time.Time) time.Duration {
	return max(r.trialDue().Sub(now), wantInterval)
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
// its requests have not been answered for longer or, if none ever was, it has more losses. The
// caller holds mu.
func (t *Table) isMoreSuspect(qKey string, q *record, rKey string, r *record) bool {
	if a, b := t.lastBegun(qKey, q), t.lastBegun(rKey, r); !a.Equal(b) {
		return a.Before(b)
	}
	return len(t.distinct(qKey, q)) > len(t.distinct(rKey, r))
}

// isOnlyIn reports whether all requests that were lost with the key of r have the key of q.
func (r *record) isOnlyIn(q *record) bool { return areRequestsOf(q, r.losses) }

// areRequestsOf reports whether all requests of the losses have the key of r.
func areRequestsOf(r *record, losses []loss) bool {
	for _, l := range losses {
		known := r.find(l)
		if known == nil || slices.ContainsFunc(l.requests, func(request uint64) bool { return !known.has(request) }) {
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
