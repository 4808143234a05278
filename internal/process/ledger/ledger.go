// Package ledger implements the call ledger, which records which call keys were claimed
// for dispatch and how each call ended. The ledger is deterministic: the replicated
// state machine applies log entries to it, and every time comes from the log entry.
//
// Invariants:
//   - Each key of a team is granted to at most one nonce. Only the holder of that nonce
//     may dispatch the call, and only once.
//   - Final states (done, not run) never change.
//   - A key older than the floor has no entry and can never be claimed again. The floor
//     only increases.
package ledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Settings limits the ledger. All replicas must use the same values.
type Settings struct {
	// Retention is how long a key is kept, counted from the time in the key.
	Retention time.Duration
	// MaxClockSkew is how far the time in a key may be ahead of the log's time.
	MaxClockSkew time.Duration
	// MaxOpenAge is the age at which an open claim is marked in doubt. It must exceed
	// the longest call timeout.
	MaxOpenAge time.Duration
	// MaxEntries and MaxBytes limit memory use: beyond them the oldest keys are removed
	// and the floor rises.
	MaxEntries int
	MaxBytes   int
	// MaxPayloadBytes limits the size of one recorded response.
	MaxPayloadBytes int
}

// DefaultSettings returns the settings for the deployment sizes in docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		Retention:       time.Hour,
		MaxClockSkew:    time.Minute,
		MaxOpenAge:      10 * time.Minute,
		MaxEntries:      1_000_000,
		MaxBytes:        512 << 20,
		MaxPayloadBytes: 64 << 10,
	}
}

// entryOverheadBytes is the estimated size of an entry without its variable-length
// fields.
const entryOverheadBytes = 512

// Fault messages for outcomes that the ledger records itself.
const (
	payloadTooLargeMessage = "the call ran; its answer was too large to be recorded"
	settledRanMessage      = "the call ran, as an operator found; its answer was lost"
	settledNotRunMessage   = "the call did not run, as an operator found"
)

// entryID identifies an entry.
type entryID struct {
	team, key string
}

// entry holds one claim. The claim is replaced rather than modified, because pointers
// to it are returned to callers.
type entry struct {
	id        entryID
	keyMs     int64
	claim     *chicoryv1.Claim
	heapIndex int // index in Ledger.byKeyTime
}

// routerKey identifies one incarnation of a router.
type routerKey struct {
	id, incarnation string
}

// Ledger is the state of the call ledger. It is not safe for concurrent use: the state
// machine applies one log entry at a time and serializes reads with them. Claims
// returned by its methods must not be modified.
type Ledger struct {
	settings     Settings
	entries      map[entryID]*entry
	byKeyTime    entryHeap
	openByRouter map[routerKey]map[entryID]*entry
	inDoubt      map[entryID]*entry
	sizeBytes    int
	// floorMs is the floor in Unix milliseconds: keys with an earlier time are too old.
	floorMs int64
}

// New returns an empty ledger.
func New(s Settings) *Ledger {
	l := &Ledger{settings: s}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.entries = map[entryID]*entry{}
	l.byKeyTime = nil
	l.openByRouter = map[routerKey]map[entryID]*entry{}
	l.inDoubt = map[entryID]*entry{}
	l.sizeBytes = 0
	l.floorMs = 0
}

// Len returns the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// Claim registers the key for c's nonce, or returns why it can't. The verdict DISPATCH
// is given to only one nonce of a key. The same nonce gets it again while its claim is
// open, because its holder does not dispatch before it has received the verdict.
func (l *Ledger) Claim(c *chicoryv1.Claim, now time.Time) *chicoryv1.ClaimResult {
	keyMs, err := ParseKey(c.GetKey())
	if err != nil || c.GetNonce() == "" {
		return newClaimResult(chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD, nil)
	}
	l.advanceFloor(now)
	if e, ok := l.entries[entryIDOf(c)]; ok {
		return resultForExisting(e.claim, c)
	}
	if keyMs < l.floorMs || l.isTooFarAhead(keyMs, now) {
		return newClaimResult(chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD, nil)
	}
	e := l.insert(c, keyMs, chicoryv1.ClaimState_CLAIM_STATE_CLAIMED, now)
	return newClaimResult(chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH, e.claim)
}

// resultForExisting returns the result for a claim whose key already has an entry.
func resultForExisting(recorded, c *chicoryv1.Claim) *chicoryv1.ClaimResult {
	if !bytes.Equal(recorded.GetDigest(), c.GetDigest()) {
		return newClaimResult(chicoryv1.ClaimVerdict_CLAIM_VERDICT_CONFLICT, nil)
	}
	if isFinal(recorded.GetState()) {
		return newClaimResult(chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY, recorded)
	}
	isOpen := recorded.GetState() == chicoryv1.ClaimState_CLAIM_STATE_CLAIMED
	if isOpen && recorded.GetNonce() == c.GetNonce() {
		return newClaimResult(chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH, recorded)
	}
	return newClaimResult(chicoryv1.ClaimVerdict_CLAIM_VERDICT_UNKNOWN, recorded)
}

// Close records how the claim with c's nonce ended and returns the resulting state of
// the key. Only open claims and claims in doubt change. Closing a key without an entry
// as not run adds an entry, so that a claim request still in transit is not granted a
// dispatch. CLAIM_STATE_UNSPECIFIED means that the key is not in the ledger.
func (l *Ledger) Close(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimState {
	l.advanceFloor(now)
	e, ok := l.entries[entryIDOf(c)]
	if !ok {
		return l.closeUnclaimed(c, now)
	}
	state := e.claim.GetState()
	if isFinal(state) || e.claim.GetNonce() != c.GetNonce() || !isClosedState(c.GetState()) {
		return state
	}
	l.closeEntry(e, c, now)
	l.evictOldest()
	return c.GetState()
}

// closeUnclaimed adds an entry in state not run for a key that was never claimed.
func (l *Ledger) closeUnclaimed(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimState {
	keyMs, err := ParseKey(c.GetKey())
	if err != nil || c.GetNonce() == "" || keyMs < l.floorMs || l.isTooFarAhead(keyMs, now) ||
		c.GetState() != chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN {
		return chicoryv1.ClaimState_CLAIM_STATE_UNSPECIFIED
	}
	l.insert(c, keyMs, chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN, now)
	return chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN
}

// RouterLost marks the open claims of a lost router incarnation as in doubt and returns
// their number.
func (l *Ledger) RouterLost(routerID, incarnation string, now time.Time) int {
	lost := l.openByRouter[routerKey{routerID, incarnation}]
	n := len(lost)
	for _, e := range lost {
		l.markInDoubt(e, now)
	}
	return n
}

// Settle closes a claim in doubt with the outcome that an operator determined. It fails
// with kind NotFound if the key has no claim in doubt.
func (l *Ledger) Settle(team, key string, ran bool, now time.Time) error {
	e, ok := l.inDoubt[entryID{team, key}]
	if !ok {
		return fault.New(fault.NotFound, "key %s of team %s has no claim in doubt", key, team)
	}
	c := proto.CloneOf(e.claim)
	if ran {
		c.State = chicoryv1.ClaimState_CLAIM_STATE_DONE
		c.FaultKind = string(fault.TargetRefused)
		c.FaultMessage = settledRanMessage
	} else {
		c.State = chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN
		c.FaultKind = string(fault.DeadlineNotRun)
		c.FaultMessage = settledNotRunMessage
	}
	l.closeEntry(e, c, now)
	return nil
}

// isTooFarAhead reports whether the key's time is ahead of now by more than
// MaxClockSkew.
func (l *Ledger) isTooFarAhead(keyMs int64, now time.Time) bool {
	return keyMs > now.Add(l.settings.MaxClockSkew).UnixMilli()
}

func entryIDOf(c *chicoryv1.Claim) entryID {
	return entryID{c.GetTeam(), c.GetKey()}
}

func isFinal(s chicoryv1.ClaimState) bool {
	return s == chicoryv1.ClaimState_CLAIM_STATE_DONE || s == chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN
}

// isClosedState reports whether s is a state that Close may set.
func isClosedState(s chicoryv1.ClaimState) bool {
	return isFinal(s) || s == chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
}

func newClaimResult(v chicoryv1.ClaimVerdict, recorded *chicoryv1.Claim) *chicoryv1.ClaimResult {
	return &chicoryv1.ClaimResult{Verdict: v, Recorded: recorded}
}
