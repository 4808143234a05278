// Package ledger holds the call ledger: which call keys were claimed for a
// dispatch and how each ended. It is deterministic state that the state machine
// applies from the replicated log; every time comes from the log entry.
//
// Invariants:
//   - A key of a team is given to one nonce at most, for ever. Only the holder of
//     the nonce may dispatch, once.
//   - A final state (done, not run) never changes.
//   - A key that is older than the floor has no entry and is never claimed again.
//     The floor only grows.
package ledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Settings bound the ledger. Every replica must use the same.
type Settings struct {
	// Retention is how long a key is kept, counted from the key's own time.
	Retention time.Duration
	// FutureAllowance is how far a key's time may be ahead of the log's.
	FutureAllowance time.Duration
	// OpenLimit is the age at which an open claim is put in doubt. It must be
	// above the longest timeout of a call.
	OpenLimit time.Duration
	// MaxEntries and MaxBytes bound the memory: beyond them the oldest keys are
	// dropped and the floor moves up.
	MaxEntries int
	MaxBytes   int
	// MaxPayloadBytes bounds one recorded answer.
	MaxPayloadBytes int
}

// DefaultSettings returns the settings for the sizes of docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		Retention:       time.Hour,
		FutureAllowance: time.Minute,
		OpenLimit:       10 * time.Minute,
		MaxEntries:      1_000_000,
		MaxBytes:        512 << 20,
		MaxPayloadBytes: 64 << 10,
	}
}

// entryOverheadBytes is what an entry costs beside its variable fields.
const entryOverheadBytes = 512

// Messages of refusals that the ledger records by itself.
const (
	payloadTooLargeMessage = "the call ran; its answer was too large to be recorded"
	settledRanMessage      = "the call ran, as an operator found; its answer was lost"
	settledNotRunMessage   = "the call did not run, as an operator found"
)

// entryID names an entry.
type entryID struct {
	team, key string
}

// entry is one claim. claim is replaced, never changed, because it is given out.
type entry struct {
	id    entryID
	keyMs int64
	claim *chicoryv1.Claim
	heap  int // index in Ledger.oldest
}

// routerRun is one incarnation of a router.
type routerRun struct {
	id, incarnation string
}

// Ledger is the state. It is not safe for concurrent use: the state machine
// applies one entry at a time and serializes reads with them. Claims that it
// returns must not be changed.
type Ledger struct {
	settings Settings
	entries  map[entryID]*entry
	oldest   entryHeap
	open     map[routerRun]map[entryID]*entry
	inDoubt  map[entryID]*entry
	bytes    int
	// floorMs: keys with a time before it are too old.
	floorMs int64
}

// New returns an empty ledger.
func New(s Settings) *Ledger {
	l := &Ledger{settings: s}
	l.clear()
	return l
}

func (l *Ledger) clear() {
	l.entries = map[entryID]*entry{}
	l.oldest = nil
	l.open = map[routerRun]map[entryID]*entry{}
	l.inDoubt = map[entryID]*entry{}
	l.bytes = 0
	l.floorMs = 0
}

// Len returns the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// Claim enters the key for c's nonce, or says why not. DISPATCH is given to one
// nonce of a key only; the same nonce gets it again while its claim is open,
// because its holder has not dispatched before it has an answer.
func (l *Ledger) Claim(c *chicoryv1.Claim, now time.Time) *chicoryv1.ClaimResult {
	keyMs, err := ParseKey(c.GetKey())
	if err != nil || c.GetNonce() == "" {
		return verdict(chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD, nil)
	}
	l.raiseFloor(now)
	if e, ok := l.entries[idOf(c)]; ok {
		return resend(e.claim, c)
	}
	if keyMs < l.floorMs || l.isFuture(keyMs, now) {
		return verdict(chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD, nil)
	}
	e := l.insert(c, keyMs, chicoryv1.ClaimState_CLAIM_STATE_CLAIMED, now)
	return verdict(chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH, e.claim)
}

// resend answers a claim of a key that has an entry.
func resend(recorded, c *chicoryv1.Claim) *chicoryv1.ClaimResult {
	if !bytes.Equal(recorded.GetDigest(), c.GetDigest()) {
		return verdict(chicoryv1.ClaimVerdict_CLAIM_VERDICT_CONFLICT, nil)
	}
	if isFinal(recorded.GetState()) {
		return verdict(chicoryv1.ClaimVerdict_CLAIM_VERDICT_REPLAY, recorded)
	}
	isOpen := recorded.GetState() == chicoryv1.ClaimState_CLAIM_STATE_CLAIMED
	if isOpen && recorded.GetNonce() == c.GetNonce() {
		return verdict(chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH, recorded)
	}
	return verdict(chicoryv1.ClaimVerdict_CLAIM_VERDICT_UNKNOWN, recorded)
}

// Close records how the claim with c's nonce ended and returns the state that
// the key has then. It changes open claims and claims in doubt only. Closing a
// key that has no entry as not run enters it, so that a claim which is still on
// its way is not given a dispatch. CLAIM_STATE_UNSPECIFIED means that the key is
// not in the ledger.
func (l *Ledger) Close(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimState {
	l.raiseFloor(now)
	e, ok := l.entries[idOf(c)]
	if !ok {
		return l.closeAbsent(c, now)
	}
	state := e.claim.GetState()
	if isFinal(state) || e.claim.GetNonce() != c.GetNonce() || !isClosing(c.GetState()) {
		return state
	}
	l.finish(e, c, now)
	l.trim()
	return c.GetState()
}

// closeAbsent enters a key that was never claimed as not run.
func (l *Ledger) closeAbsent(c *chicoryv1.Claim, now time.Time) chicoryv1.ClaimState {
	keyMs, err := ParseKey(c.GetKey())
	if err != nil || c.GetNonce() == "" || keyMs < l.floorMs || l.isFuture(keyMs, now) ||
		c.GetState() != chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN {
		return chicoryv1.ClaimState_CLAIM_STATE_UNSPECIFIED
	}
	l.insert(c, keyMs, chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN, now)
	return chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN
}

// RouterLost puts the open claims of a dead incarnation in doubt and returns
// their number.
func (l *Ledger) RouterLost(routerID, incarnation string, now time.Time) int {
	lost := l.open[routerRun{routerID, incarnation}]
	n := len(lost)
	for _, e := range lost {
		l.doubt(e, now)
	}
	return n
}

// Settle closes a claim in doubt as an operator found it. It fails with the kind
// NotFound when the key has no claim in doubt.
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
	l.finish(e, c, now)
	return nil
}

// isFuture reports whether the key's time is further ahead than is allowed.
func (l *Ledger) isFuture(keyMs int64, now time.Time) bool {
	return keyMs > now.Add(l.settings.FutureAllowance).UnixMilli()
}

func idOf(c *chicoryv1.Claim) entryID {
	return entryID{c.GetTeam(), c.GetKey()}
}

func isFinal(s chicoryv1.ClaimState) bool {
	return s == chicoryv1.ClaimState_CLAIM_STATE_DONE || s == chicoryv1.ClaimState_CLAIM_STATE_NOT_RUN
}

// isClosing reports whether a claim may be closed with the state.
func isClosing(s chicoryv1.ClaimState) bool {
	return isFinal(s) || s == chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
}

func verdict(v chicoryv1.ClaimVerdict, recorded *chicoryv1.Claim) *chicoryv1.ClaimResult {
	return &chicoryv1.ClaimResult{Verdict: v, Recorded: recorded}
}
