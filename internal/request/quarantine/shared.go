package quarantine

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// ChangesSince returns the parts that changed after version, and the version to pass to the
// next call. With recurrentOnly, parts that were lost only once are left out: most are
// those of requests that happened to be on the same engine.
func (t *Table) ChangesSince(version uint64, recurrentOnly bool, now time.Time) (changes []*chicoryv1.SuspectPart, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version == version {
		return nil, version
	}
	for id, p := range t.parts {
		if p.version <= version || recurrentOnly && !p.recurrent || now.Sub(p.lastChange()) > retention {
			continue
		}
		changes = append(changes, p.encode(id, now))
	}
	return changes, t.version
}

func (p *part) encode(id string, now time.Time) *chicoryv1.SuspectPart {
	s := &chicoryv1.SuspectPart{Part: id}
	for _, l := range p.losses {
		s.Losses = append(s.Losses, &chicoryv1.EngineLoss{
			Address: l.engine.Address, Instance: l.engine.Instance, AgeMs: ageMs(now, l.at),
		})
	}
	if !p.begunAt.IsZero() {
		s.BegunAgeMs = ageMs(now, p.begunAt) + 1
	}
	return s
}

func ageMs(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

// Merge adds what other VMs know about parts. Merging the same again changes nothing.
func (t *Table) Merge(suspects []*chicoryv1.SuspectPart, now time.Time) {
	if len(suspects) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		if s.GetBegunAgeMs() > 0 {
			t.clear(s.GetPart(), before(now, s.GetBegunAgeMs()-1))
		}
		for _, l := range s.GetLosses() {
			if at := before(now, l.GetAgeMs()); now.Sub(at) <= retention {
				t.addLoss(s.GetPart(), loss{Engine{l.GetAddress(), l.GetInstance()}, at})
			}
		}
	}
	t.notify()
}

func before(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
