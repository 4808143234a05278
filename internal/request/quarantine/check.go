package quarantine

import (
	"context"
	"slices"
	"time"
)

// otherCauses is the number of losses of a part that need no explanation: engines are also
// lost for reasons that no part explains.
const otherCauses = 1

// Admission is the result of a check.
type Admission struct {
	// Refused: the request contains parts in quarantine, which ends after Wait.
	Refused bool
	Wait    time.Duration
	// Trial: the request contains parts whose quarantine has ended. Its answer shows
	// whether one still crashes engines.
	Trial bool
	// Parts are the parts in quarantine or on trial. At least one of them crashes engines,
	// or did.
	Parts []string
}

// Admit checks a request that contains parts. After one that is admitted as a trial, all VMs
// refuse further requests for trialPeriod or until its answer begins.
func (t *Table) Admit(parts []string, now time.Time) Admission {
	if len(parts) == 0 {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.check(parts, now)
	if a.Trial {
		for _, id := range a.Parts {
			t.parts[id].trialAt = now
			t.touch(t.parts[id])
		}
	}
	return a
}

// Check is Admit for a request that is already at an engine: it begins no trial.
func (t *Table) Check(parts []string, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(parts, now)
}

// AwaitRefusal waits until a request that contains parts is refused. It returns false if
// ctx ends first.
func (t *Table) AwaitRefusal(ctx context.Context, parts []string) (Admission, bool) {
	for {
		t.mu.Lock()
		a, changed := t.check(parts, time.Now()), t.changed
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

// check returns the admission of a request that contains parts. The caller holds mu.
func (t *Table) check(parts []string, now time.Time) Admission {
	var refusal, trial Admission
	for _, id := range parts {
		p := t.suspects[id]
		if p == nil {
			continue
		}
		losses := distinctTimes(p.losses)
		if len(losses) < minLosses || t.isExplained(p, losses, parts) {
			continue
		}
		end := losses[len(losses)-1].at.Add(t.period(len(losses)))
		if !p.trialAt.IsZero() {
			end = later(end, p.trialAt.Add(trialPeriod))
		}
		if wait := end.Sub(now); wait > 0 {
			refusal.Refused, refusal.Wait = true, max(refusal.Wait, wait)
			refusal.Parts = append(refusal.Parts, id)
		} else {
			trial.Trial, trial.Parts = true, append(trial.Parts, id)
		}
	}
	if refusal.Refused {
		return refusal
	}
	return trial
}

// period returns the length of the quarantine after a number of losses.
func (t *Table) period(losses int) time.Duration {
	period := minPeriod
	for range losses - minLosses {
		period = min(2*period, maxPeriod)
	}
	return time.Duration(float64(period) * t.spread)
}

// isExplained reports whether other parts that are not in the request explain the losses of p:
// one that has nearly all of them, or several that were lost only together with p. If two parts
// were always in the same requests, either may be the one that crashes engines: requests with
// both are refused, and a request with one of them shows which it is. The caller holds mu.
func (t *Table) isExplained(p *part, losses []loss, request []string) bool {
	var together []*part
	for other, q := range t.suspects {
		if q == p || slices.Contains(request, other) {
			continue
		}
		own := distinctTimes(q.losses)
		if len(own) < minLosses {
			continue
		}
		if shared(losses, q) >= len(losses)-otherCauses {
			return true
		}
		if shared(own, p) >= len(own)-otherCauses {
			together = append(together, q)
		}
	}
	return shared(losses, together...) >= len(losses)-otherCauses
}

// shared returns how many losses one of the parts has as well.
func shared(losses []loss, parts ...*part) int {
	n := 0
	for _, l := range losses {
		if slices.ContainsFunc(parts, func(p *part) bool { return p.has(l) }) {
			n++
		}
	}
	return n
}

// distinctTimes returns the losses without those that coincide with the one before.
func distinctTimes(losses []loss) []loss {
	var distinct []loss
	for _, l := range losses {
		if n := len(distinct); n == 0 || l.at.Sub(distinct[n-1].at) >= coincidence {
			distinct = append(distinct, l)
		}
	}
	return distinct
}
