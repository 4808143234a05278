package quarantine

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// LocalChanges returns what this VM itself has seen of the parts that changed after version,
// and the version to pass to the next call.
func (t *Table) LocalChanges(version uint64, now time.Time) (changes []*chicoryv1.SuspectPart, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes(t.parts, version, now, true)
}

// All returns all parts, and the version to pass to the next call of LocalChanges.
func (t *Table) All(now time.Time) (parts []*chicoryv1.SuspectPart, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes(t.parts, 0, now, false)
}

// RecurrentChanges returns the parts that changed after version and had losses at different
// times, and the version to pass to the next call. Most other parts are those of requests
// that happened to be on the same engine.
func (t *Table) RecurrentChanges(version uint64, now time.Time) (changes []*chicoryv1.SuspectPart, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes(t.recurrent, version, now, false)
}

// changes returns those of parts that changed after version. With localOnly, they contain only
// what this VM itself has seen. The caller holds mu.
func (t *Table) changes(parts map[string]*part, version uint64, now time.Time, localOnly bool) (changes []*chicoryv1.SuspectPart, next uint64) {
	if t.version == version {
		return nil, version
	}
	for id, p := range parts {
		switch {
		case now.Sub(p.lastChange()) > retention:
			t.remove(id)
		case p.version > version:
			if s := p.encode(id, now, localOnly); len(s.GetLosses()) > 0 || s.GetBegunAgeMs() > 0 || s.GetTrialAgeMs() > 0 {
				changes = append(changes, s)
			}
		}
	}
	return changes, t.version
}

func (p *part) encode(id string, now time.Time, localOnly bool) *chicoryv1.SuspectPart {
	s := &chicoryv1.SuspectPart{Part: id}
	for _, l := range p.losses {
		if l.here || !localOnly {
			s.Losses = append(s.Losses, &chicoryv1.EngineLoss{
				Address: l.engine.Address, Instance: l.engine.Instance, AgeMs: ageMs(now, l.at), Id: l.id,
			})
		}
	}
	if !p.begunAt.IsZero() && (p.begunHere || !localOnly) {
		s.BegunAgeMs = ageMs(now, p.begunAt) + 1
	}
	if !p.trialAt.IsZero() {
		s.TrialAgeMs = ageMs(now, p.trialAt) + 1
	}
	return s
}

func ageMs(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

// Merge adds what other VMs know about parts. Merging the same again changes nothing.
func (t *Table) Merge(suspects []*chicoryv1.SuspectPart, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		t.merge(s, now)
	}
}

// merge adds what another VM knows about one part. The caller holds mu.
func (t *Table) merge(s *chicoryv1.SuspectPart, now time.Time) {
	id := s.GetPart()
	if p := t.parts[id]; p != nil && s.GetBegunAgeMs() > 0 {
		t.clear(id, p, before(now, s.GetBegunAgeMs()-1))
	}
	for _, l := range s.GetLosses() {
		if at := before(now, l.GetAgeMs()); now.Sub(at) <= retention {
			t.addLoss(id, loss{id: l.GetId(), engine: Engine{l.GetAddress(), l.GetInstance()}, at: at})
		}
	}
	p := t.parts[id]
	if p == nil || s.GetTrialAgeMs() == 0 {
		return
	}
	if at := before(now, s.GetTrialAgeMs()-1); len(p.losses) > 0 && at.Sub(p.trialAt) > trialPeriod/2 {
		p.trialAt = at
		t.touch(p)
	}
}

func before(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
