package quarantine

import (
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// LocalChanges returns what this VM itself has seen of the keys that changed after version,
// and the version to pass to the next call.
func (t *Table) LocalChanges(version uint64, now time.Time) (changes []*chicoryv1.SuspectPart, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes(t.keys, version, now, true)
}

// All returns all keys, and the version to pass to the next call of LocalChanges.
func (t *Table) All(now time.Time) (keys []*chicoryv1.SuspectPart, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes(t.keys, 0, now, false)
}

// RecurrentChanges returns the keys that changed after version and had more than one loss, and
// the version to pass to the next call. Most other keys are those of requests that happened to
// be at the same target.
func (t *Table) RecurrentChanges(version uint64, now time.Time) (changes []*chicoryv1.SuspectPart, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes(t.recurrent, version, now, false)
}

// Quarantined returns the keys with enough losses for a quarantine, and a version that changes
// with them.
func (t *Table) Quarantined(now time.Time) (keys []*chicoryv1.SuspectPart, version Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.suspects {
		keys = append(keys, r.encode(key, now, false))
		version = Version{version.keys + 1, max(version.newest, r.version)}
	}
	return keys, version
}

// Version identifies a state of the keys in quarantine.
type Version struct {
	keys   int
	newest uint64
}

// changes returns those of records that changed after version. With localOnly, they contain only
// what this VM itself has seen. The caller holds mu.
func (t *Table) changes(records map[string]*record, version uint64, now time.Time, localOnly bool) (changes []*chicoryv1.SuspectPart, next uint64) {
	if t.version == version {
		return nil, version
	}
	for key, r := range records {
		switch {
		case now.Sub(r.lastChange()) > retention:
			t.remove(key)
		case r.version > version:
			if s := r.encode(key, now, localOnly); len(s.GetLosses()) > 0 || s.GetBegunAgeMs() > 0 || s.GetTrials() > 0 || s.GetWantsTrial() {
				changes = append(changes, s)
			}
		}
	}
	return changes, t.version
}

func (r *record) encode(key string, now time.Time, localOnly bool) *chicoryv1.SuspectPart {
	s := &chicoryv1.SuspectPart{Part: key, Trials: r.trials}
	for _, l := range r.losses {
		if l.here || !localOnly {
			s.Losses = append(s.Losses, &chicoryv1.EngineLoss{
				Address: l.target.Address, Instance: l.target.Instance, AvailabilityZone: l.target.AvailabilityZone,
				AgeMs: ageMs(now, l.at), DurationMs: ageMs(l.at, l.sentAt), Id: l.requests[0], FurtherIds: slices.Clone(l.requests[1:]), Trial: l.trial,
			})
		}
	}
	if !r.begunAt.IsZero() && (r.begunHere || !localOnly) {
		s.BegunAgeMs = ageMs(now, r.begunAt) + 1
	}
	if !r.trialAt.IsZero() {
		s.TrialAgeMs = ageMs(now, r.trialAt) + 1
	}
	if localOnly {
		s.WantsTrial = !r.wantedAt.IsZero() && now.Sub(r.wantedAt) < wantInterval
	} else if r.grantedTo != "" {
		s.GrantedTo, s.GrantedAgeMs = r.grantedTo, ageMs(now, r.grantedAt)
	}
	return s
}

func ageMs(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

// Merge adds what other VMs know about keys. Merging the same again changes nothing.
func (t *Table) Merge(suspects []*chicoryv1.SuspectPart, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		t.merge(s, now)
	}
}

// merge adds what another VM knows about one key. The caller holds mu.
func (t *Table) merge(s *chicoryv1.SuspectPart, now time.Time) {
	key := s.GetPart()
	if r := t.keys[key]; r != nil && s.GetBegunAgeMs() > 0 {
		begun := before(now, s.GetBegunAgeMs()-1)
		t.clear(key, r, begun)
		r.begunAt = later(r.begunAt, begun) // an answer before all losses also counts, see distinct
	}
	for _, l := range s.GetLosses() {
		at := before(now, l.GetAgeMs())
		if now.Sub(at) > retention {
			continue
		}
		t.addLoss(key, loss{
			target: Target{l.GetAddress(), l.GetInstance(), l.GetAvailabilityZone()},
			sentAt: before(at, l.GetDurationMs()), at: at, trial: l.GetTrial(),
			requests: append([]uint64{l.GetId()}, l.GetFurtherIds()...),
		})
	}
	if r := t.keys[key]; r != nil && len(r.losses) > 0 {
		t.mergeTrials(r, s, now)
	}
}

// mergeTrials adds what another VM knows about the trials of a key. The caller holds mu.
func (t *Table) mergeTrials(r *record, s *chicoryv1.SuspectPart, now time.Time) {
	if s.GetTrials() > r.trials {
		r.trials, r.trialAt, r.grantedTo = s.GetTrials(), before(now, s.GetTrialAgeMs()), ""
		t.touch(r)
	}
	granted := before(now, s.GetGrantedAgeMs())
	if s.GetGrantedTo() != "" && s.GetTrials() == r.trials && granted.Sub(r.grantedAt) > sameGrant {
		r.grantedTo, r.grantedAt = s.GetGrantedTo(), granted
		t.touch(r)
	}
}

// GrantTrials lets an entry VM admit the trials that it wants, if they are due and no other VM
// may admit one. An entry VM that wants one for a key that is not in quarantine is told why. Only the
// leader calls it: all trials of a key are counted together.
func (t *Table) GrantTrials(entry string, suspects []*chicoryv1.SuspectPart, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		r := t.keys[s.GetPart()]
		switch {
		case r == nil || !s.GetWantsTrial():
		case t.suspects[s.GetPart()] == nil:
			t.tell(s.GetPart(), r)
		case !now.Before(r.trialDue()) && (r.grantedTo == "" || now.Sub(r.grantedAt) >= regrantAfter):
			r.grantedTo, r.grantedAt = entry, now
			t.touch(r)
		}
	}
}

// tell lets the leader's entry VMs know what it knows about a key: one of them suspects the key because it
// doesn't know of an answer that began. The caller holds mu.
func (t *Table) tell(key string, r *record) {
	t.recurrent[key] = r
	t.touch(r)
}

func before(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
