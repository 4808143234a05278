package ledger

import (
	"bytes"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Short names of the generated constants.
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

// naiveEntry is one entry of naiveLedger.
type naiveEntry struct {
	claim   *chicoryv1.Claim
	state   chicoryv1.ClaimState
	payload []byte
	at      time.Time
}

// naiveLedger is a plain map without indexes that looks at every entry each time.
type naiveLedger struct {
	settings Settings
	entries  map[entryID]*naiveEntry
	floor    int64
}

// naiveID names an entry without the ledger's own help.
func naiveID(c *chicoryv1.Claim) entryID {
	return entryID{team: c.GetTeam(), key: c.GetKey()}
}

func newNaiveLedger(s Settings) *naiveLedger {
	return &naiveLedger{settings: s, entries: map[entryID]*naiveEntry{}}
}

// keyTime returns the time of a key that is known to be well formed.
func keyTime(key string) int64 {
	ms, err := ParseKey(key)
	if err != nil {
		panic(err)
	}
	return ms
}

func (n *naiveLedger) age(now time.Time) {
	n.floor = max(n.floor, now.Add(-n.settings.Retention).UnixMilli())
	n.drop()
}

func (n *naiveLedger) drop() {
	for id := range n.entries {
		if keyTime(id.key) < n.floor {
			delete(n.entries, id)
		}
	}
}

func (n *naiveLedger) bound() {
	for len(n.entries) > n.settings.MaxEntries {
		var times []int64
		for id := range n.entries {
			times = append(times, keyTime(id.key))
		}
		n.floor = max(n.floor, slices.Min(times)+1)
		n.drop()
	}
}

func (n *naiveLedger) isOutside(key string, now time.Time) bool {
	return keyTime(key) < n.floor || keyTime(key) > now.Add(n.settings.FutureAllowance).UnixMilli()
}

func (n *naiveLedger) claim(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimVerdict {
	n.age(now)
	e := n.entries[naiveID(c)]
	switch {
	case e == nil && n.isOutside(c.GetKey(), now):
		return tooOld
	case e == nil:
		n.entries[naiveID(c)] = &naiveEntry{claim: c, state: claimed, at: now}
		n.bound()
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

func (n *naiveLedger) close(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimState {
	n.age(now)
	e := n.entries[naiveID(c)]
	switch {
	case e == nil && c.GetState() == notRun && !n.isOutside(c.GetKey(), now):
		n.entries[naiveID(c)] = &naiveEntry{claim: c, state: notRun, at: now}
		n.bound()
		return notRun
	case e == nil:
		return none
	case e.state == done || e.state == notRun || e.claim.GetNonce() != c.GetNonce():
		return e.state
	}
	e.state = c.GetState()
	if len(c.GetPayload()) <= n.settings.MaxPayloadBytes {
		e.payload = c.GetPayload()
	}
	return e.state
}

func (n *naiveLedger) routerLost(id, incarnation string) {
	for _, e := range n.entries {
		if e.state == claimed && e.claim.GetRouterId() == id && e.claim.GetIncarnation() == incarnation {
			e.state = inDoubt
		}
	}
}

func (n *naiveLedger) expire(now time.Time) {
	n.age(now)
	for _, e := range n.entries {
		if e.state == claimed && e.at.UnixMilli() <= now.Add(-n.settings.OpenLimit).UnixMilli() {
			e.state = inDoubt
		}
	}
}

func (n *naiveLedger) settle(team, key string, ran bool) bool {
	e := n.entries[entryID{team, key}]
	if e == nil || e.state != inDoubt {
		return false
	}
	e.state, e.payload = notRun, nil
	if ran {
		e.state = done
	}
	return true
}
