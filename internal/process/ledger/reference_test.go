package ledger

import (
	"bytes"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Short names for generated constants.
const (
	dispatch = chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH
	replay   = chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY
	unknown  = chicoryv1.ClaimVerdict_CLAIM_VERDICT_UNKNOWN
	conflict = chicoryv1.ClaimVerdict_CLAIM_VERDICT_CONFLICT
	tooOld   = chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD

	none    = chicoryv1.ClaimState_CLAIM_STATE_UNSPECIFIED
	claimed = chicoryv1.ClaimState_CLAIM_STATE_CLAIMED
	done    = chicoryv1.ClaimState_CLAIM_STATE_DONE
	notRun  = chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN
	inDoubt = chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
)

// referenceEntry is one entry of referenceLedger.
type referenceEntry struct {
	claim   *chicoryv1.Claim
	state   chicoryv1.ClaimState
	payload []byte
	at      time.Time
}

// referenceLedger is a reference model of the ledger: a plain map without indexes,
// every operation of which scans all entries.
type referenceLedger struct {
	settings Settings
	entries  map[entryID]*referenceEntry
	floor    int64
}

// referenceID returns the ID of a claim's entry without using the ledger's code.
func referenceID(c *chicoryv1.Claim) entryID {
	return entryID{team: c.GetTeam(), key: c.GetKey()}
}

func newReferenceLedger(s Settings) *referenceLedger {
	return &referenceLedger{settings: s, entries: map[entryID]*referenceEntry{}}
}

// keyTime returns the time of a well-formed key in Unix milliseconds.
func keyTime(key string) int64 {
	ms, err := ParseKey(key)
	if err != nil {
		panic(err)
	}
	return ms
}

func (r *referenceLedger) advanceFloor(now time.Time) {
	r.floor = max(r.floor, now.Add(-r.settings.Retention).UnixMilli())
	r.removeBelowFloor()
}

func (r *referenceLedger) removeBelowFloor() {
	for id := range r.entries {
		if keyTime(id.key) < r.floor {
			delete(r.entries, id)
		}
	}
}

func (r *referenceLedger) evictOldest() {
	for len(r.entries) > r.settings.MaxEntries {
		var times []int64
		for id := range r.entries {
			times = append(times, keyTime(id.key))
		}
		r.floor = max(r.floor, slices.Min(times)+1)
		r.removeBelowFloor()
	}
}

func (r *referenceLedger) isOutsideRetention(key string, now time.Time) bool {
	return keyTime(key) < r.floor || keyTime(key) > now.Add(r.settings.MaxClockSkew).UnixMilli()
}

func (r *referenceLedger) claim(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimVerdict {
	r.advanceFloor(now)
	e := r.entries[referenceID(c)]
	switch {
	case e == nil && r.isOutsideRetention(c.GetKey(), now):
		return tooOld
	case e == nil:
		r.entries[referenceID(c)] = &referenceEntry{claim: c, state: claimed, at: now}
		r.evictOldest()
		return dispatch
	case !bytes.Equal(e.claim.GetDigest(), c.GetDigest()):
		return conflict
	case e.state == done || e.state == notRun:
		return replay
	case e.state == claimed && e.claim.GetNonce() == c.GetNonce():
		return dispatch
	default:
		return unknown
	}
}

func (r *referenceLedger) close(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimState {
	r.advanceFloor(now)
	e := r.entries[referenceID(c)]
	switch {
	case e == nil && c.GetState() == notRun && !r.isOutsideRetention(c.GetKey(), now):
		r.entries[referenceID(c)] = &referenceEntry{claim: c, state: notRun, at: now}
		r.evictOldest()
		return notRun
	case e == nil:
		return none
	case e.state == done || e.state == notRun || e.claim.GetNonce() != c.GetNonce():
		return e.state
	}
	e.state = c.GetState()
	if len(c.GetPayload()) <= r.settings.MaxPayloadBytes {
		e.payload = c.GetPayload()
	}
	return e.state
}

func (r *referenceLedger) routerLost(id, incarnation string) {
	for _, e := range r.entries {
		if e.state == claimed && e.claim.GetRouterId() == id && e.claim.GetIncarnation() == incarnation {
			e.state = inDoubt
		}
	}
}

func (r *referenceLedger) expire(now time.Time) {
	r.advanceFloor(now)
	for _, e := range r.entries {
		if e.state == claimed && e.at.UnixMilli() <= now.Add(-r.settings.MaxOpenAge).UnixMilli() {
			e.state = inDoubt
		}
	}
}

func (r *referenceLedger) settle(team, key string, ran bool) bool {
	e := r.entries[entryID{team, key}]
	if e == nil || e.state != inDoubt {
		return false
	}
	e.state, e.payload = notRun, nil
	if ran {
		e.state = done
	}
	return true
}
