package quarantine

import (
	"context"
	"slices"
	"time"
)

// otherCauses is the number of losses of a part that another part need not share to
// explain the rest: engines are also lost for reasons that no part explains.
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

// Admit checks a request that contains parts. A request that is admitted as a trial counts
// as a loss until its answer begins, so that other VMs send no further one meanwhile.
func (t *Table) Admit(parts []string, now time.Time) Admission {
	if len(parts) == 0 {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.check(parts, now)
	if a.Trial {
		for _, id := range a.Parts {
			t.addLoss(id, loss{Engine{trialAddress, t.id}, now})
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
		losses := t.unexplained(id, parts)
		if len(losses) < minLosses {
			continue
		}
		wait := losses[len(losses)-1].at.Add(t.period(len(losses))).Sub(now)
		if wait > 0 {
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

// unexplained returns the losses of a part at different times that no part outside of the
// request explains. If two parts were always in the same requests, either may be the one
// that crashes engines: requests with both are refused, and a request with one of them
// shows which it is. The caller holds mu.
func (t *Table) unexplained(id string, request []string) []loss {
	p := t.parts[id]
	if p == nil || len(p.losses) < minLosses {
		return nil
	}
	losses := distinctTimes(p.losses)
	if len(losses) < minLosses {
		return nil
	}
	required := max(minLosses, len(losses)-otherCauses)
	for other, q := range t.parts {
		if q != p && len(distinctTimes(q.losses)) >= required && !slices.Contains(request, other) {
			losses = slices.DeleteFunc(losses, q.has)
		}
	}
	return losses
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
