package ledger

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain sets a fixed seed for property tests; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m, proptest.Flag{Name: "rapid.checks", Value: "2000"}))
}

var start = time.UnixMilli(1_800_000_000_000)

// smallSettings returns limits that are small enough to be reached within a short
// history.
func smallSettings() Settings {
	return Settings{
		Retention:       60 * time.Second,
		MaxClockSkew:    5 * time.Second,
		MaxOpenAge:      20 * time.Second,
		MaxEntries:      6,
		MaxBytes:        1 << 20,
		MaxPayloadBytes: 4,
	}
}

// ledgerPair applies the same operations to a Ledger and to the reference model.
type ledgerPair struct {
	ledger    *Ledger
	reference *referenceLedger
	clock     time.Time
	keys      []string
	// granted is the nonce that was granted the dispatch of a key. Entries are never
	// removed.
	granted map[entryID]string
	// final is the first outcome that was replayed for a key.
	final map[entryID]*chicoryv1.Claim
}

func (p *ledgerPair) drawKey(t *rapid.T) string {
	if len(p.keys) > 0 && rapid.IntRange(0, 2).Draw(t, "reuse key") > 0 {
		return rapid.SampledFrom(p.keys).Draw(t, "key")
	}
	offset := time.Duration(rapid.SampledFrom([]int{0, 0, 0, -1, -59, -60, -61, 5, 6}).Draw(t, "offset")) * time.Second
	key := FormatKey(p.clock.Add(offset), fmt.Appendf(nil, "%08d", len(p.keys)))
	p.keys = append(p.keys, key)
	return key
}

func (p *ledgerPair) drawClaim(t *rapid.T) *chicoryv1.Claim {
	router := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "router")
	return &chicoryv1.Claim{
		Team:        rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "team"),
		Key:         p.drawKey(t),
		Digest:      []byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "digest")),
		RouterId:    router,
		Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"),
		Nonce:       router + rapid.SampledFrom([]string{"1", "2"}).Draw(t, "nonce"),
	}
}

func (p *ledgerPair) claim(t *rapid.T) {
	c := p.drawClaim(t)
	got := p.ledger.Claim(c, p.clock)
	assert.Equal(t, got.GetVerdict(), p.reference.claim(c, p.clock))
	switch got.GetVerdict() {
	case dispatch:
		if nonce, ok := p.granted[referenceID(c)]; ok {
			assert.Equal(t, nonce, c.GetNonce(), "key %s was granted a second dispatch", c.GetKey())
		}
		assert.Assert(t, p.final[referenceID(c)] == nil, "key %s was granted a dispatch after it was closed", c.GetKey())
		p.granted[referenceID(c)] = c.GetNonce()
	case replay:
		e := p.reference.entries[referenceID(c)]
		assert.Equal(t, got.GetRecorded().GetState(), e.state)
		assert.Assert(t, bytes.Equal(got.GetRecorded().GetPayload(), e.payload))
		if first := p.final[referenceID(c)]; first != nil {
			assert.Assert(t, proto.Equal(first, got.GetRecorded()), "outcome of key %s changed", c.GetKey())
		}
		p.final[referenceID(c)] = got.GetRecorded()
	}
}

func (p *ledgerPair) close(t *rapid.T) {
	c := p.drawClaim(t)
	c.State = rapid.SampledFrom([]chicoryv1.ClaimState{done, done, notRun, inDoubt}).Draw(t, "state")
	if c.GetState() == done {
		c.Payload = []byte(rapid.SampledFrom([]string{"p", "q", "too long"}).Draw(t, "payload"))
	}
	assert.Equal(t, p.ledger.Close(c, p.clock), p.reference.close(c, p.clock))
}

func (p *ledgerPair) settle(t *rapid.T) {
	c := p.drawClaim(t)
	ran := rapid.Bool().Draw(t, "ran")
	err := p.ledger.Settle(c.GetTeam(), c.GetKey(), ran, p.clock)
	assert.Equal(t, err == nil, p.reference.settle(c.GetTeam(), c.GetKey(), ran))
	assert.Assert(t, err == nil || fault.Is(err, fault.NotFound))
}

// restore replaces the ledger with one restored from its export.
func (p *ledgerPair) restore(t *rapid.T) {
	claims, floor := p.ledger.Export()
	next := New(smallSettings())
	assert.NilError(t, next.Restore(claims, floor))
	p.ledger = next
}

func (p *ledgerPair) stepClock(t *rapid.T) {
	p.clock = p.clock.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 61, -1, -30}).Draw(t, "seconds")) * time.Second)
}

// checkEqual checks that both implementations hold the same state, and that the
// ledger's indexes agree with its entries.
func (p *ledgerPair) checkEqual(t *rapid.T) {
	claims, floor := p.ledger.Export()
	assert.Equal(t, floor, p.reference.floor)
	assert.Equal(t, len(claims), len(p.reference.entries))
	doubts, open, size := 0, 0, 0
	for _, c := range claims {
		assert.Equal(t, c.GetState(), p.reference.entries[referenceID(c)].state, "key %s", c.GetKey())
		size += sizeOf(c)
		switch c.GetState() {
		case inDoubt:
			doubts++
		case claimed:
			open++
		}
	}
	for _, openClaims := range p.ledger.openByRouter {
		open -= len(openClaims)
	}
	assert.Equal(t, open, 0)
	assert.Equal(t, doubts, len(p.ledger.InDoubt()))
	assert.Equal(t, size, p.ledger.sizeBytes)
	assert.Equal(t, len(claims), p.ledger.Len())
}

// TestLedgerAgainstReferenceModel runs random sequences of operations, snapshots and
// clock steps on the ledger and on a plain map. It guards against a second dispatch or
// a changed outcome of a key, and against a floor that is lost in a snapshot.
func TestLedgerAgainstReferenceModel(t *testing.T) {
	histories, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := smallSettings()
		p := &ledgerPair{
			ledger:    New(s),
			reference: newReferenceLedger(s),
			clock:     start,
			granted:   map[entryID]string{},
			final:     map[entryID]*chicoryv1.Claim{},
		}
		histories++
		t.Repeat(map[string]func(*rapid.T){
			"claim":       p.claim,
			"claim again": p.claim,
			"close":       p.close,
			"settle":      p.settle,
			"restore":     p.restore,
			"step clock":  p.stepClock,
			"lost": func(t *rapid.T) {
				c := p.drawClaim(t)
				p.ledger.RouterLost(c.GetRouterId(), c.GetIncarnation(), p.clock)
				p.reference.routerLost(c.GetRouterId(), c.GetIncarnation())
			},
			"expire": func(*rapid.T) {
				p.ledger.Expire(p.clock)
				p.reference.expire(p.clock)
			},
			"": func(t *rapid.T) {
				steps++
				p.checkEqual(t)
			},
		})
	})
	t.Logf("histories=%d steps=%d", histories, steps)
}

func TestKeyFormat(t *testing.T) {
	key := NewKey(start)
	ms, err := ParseKey(key)
	assert.NilError(t, err)
	assert.Equal(t, ms, start.UnixMilli())
	for _, bad := range []string{
		"", "k", key + "G", key[:20], "0" + key, "x" + key[1:], key[:12] + "_" + key[13:],
		key[:13] + "ABCDEF0123456789",
	} {
		_, err := ParseKey(bad)
		assert.Assert(t, err != nil, "key %q", bad)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	s := DefaultSettings()
	s.MaxBytes = 10 * (entryOverheadBytes + 1000)
	l := New(s)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c := &chicoryv1.Claim{Team: "t", Key: NewKey(now), Nonce: "n"}
		assert.Equal(t, l.Claim(c, now).GetVerdict(), dispatch)
		c.State, c.Payload = done, make([]byte, 1000)
		assert.Equal(t, l.Close(c, now), done)
		assert.Assert(t, l.sizeBytes <= s.MaxBytes)
	}
	assert.Assert(t, l.Len() >= 8 && l.Len() <= 10, "%d entries", l.Len())
}
