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
	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// TestMain fixes the seed of drawn tests; SEED draws anew.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m, drawn.Flag{Name: "rapid.checks", Value: "2000"}))
}

var start = time.UnixMilli(1_800_000_000_000)

// smallSettings make every bound be met within a short history.
func smallSettings() Settings {
	return Settings{
		Retention:       60 * time.Second,
		FutureAllowance: 5 * time.Second,
		OpenLimit:       20 * time.Second,
		MaxEntries:      6,
		MaxBytes:        1 << 20,
		MaxPayloadBytes: 4,
	}
}

// pair is a ledger and its naive counterpart under one history.
type pair struct {
	ledger *Ledger
	naive  *naiveLedger
	now    time.Time
	keys   []string
	// granted has the nonce that was given a key's dispatch, for ever.
	granted map[entryID]string
	final   map[entryID]*chicoryv1.Claim
}

func (p *pair) drawKey(t *rapid.T) string {
	if len(p.keys) > 0 && rapid.IntRange(0, 2).Draw(t, "old key") > 0 {
		return rapid.SampledFrom(p.keys).Draw(t, "key")
	}
	offset := time.Duration(rapid.SampledFrom([]int{0, 0, 0, -1, -59, -60, -61, 5, 6}).Draw(t, "offset")) * time.Second
	key := FormatKey(p.now.Add(offset), fmt.Appendf(nil, "%08d", len(p.keys)))
	p.keys = append(p.keys, key)
	return key
}

func (p *pair) drawClaim(t *rapid.T) *chicoryv1.Claim {
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

func (p *pair) claim(t *rapid.T) {
	c := p.drawClaim(t)
	got := p.ledger.Claim(c, p.now)
	assert.Equal(t, got.GetVerdict(), p.naive.claim(c, p.now))
	switch got.GetVerdict() {
	case dispatch:
		if nonce, ok := p.granted[naiveID(c)]; ok {
			assert.Equal(t, nonce, c.GetNonce(), "a second dispatch of key %s", c.GetKey())
		}
		assert.Assert(t, p.final[naiveID(c)] == nil, "a dispatch after the end of key %s", c.GetKey())
		p.granted[naiveID(c)] = c.GetNonce()
	case replay:
		e := p.naive.entries[naiveID(c)]
		assert.Equal(t, got.GetRecorded().GetState(), e.state)
		assert.Assert(t, bytes.Equal(got.GetRecorded().GetPayload(), e.payload))
		if first := p.final[naiveID(c)]; first != nil {
			assert.Assert(t, proto.Equal(first, got.GetRecorded()), "a second outcome of key %s", c.GetKey())
		}
		p.final[naiveID(c)] = got.GetRecorded()
	}
}

func (p *pair) close(t *rapid.T) {
	c := p.drawClaim(t)
	c.State = rapid.SampledFrom([]chicoryv1.ClaimState{done, done, notRun, inDoubt}).Draw(t, "state")
	if c.GetState() == done {
		c.Payload = []byte(rapid.SampledFrom([]string{"p", "q", "too long"}).Draw(t, "payload"))
	}
	assert.Equal(t, p.ledger.Close(c, p.now), p.naive.close(c, p.now))
}

func (p *pair) settle(t *rapid.T) {
	c := p.drawClaim(t)
	ran := rapid.Bool().Draw(t, "ran")
	err := p.ledger.Settle(c.GetTeam(), c.GetKey(), ran, p.now)
	assert.Equal(t, err == nil, p.naive.settle(c.GetTeam(), c.GetKey(), ran))
	assert.Assert(t, err == nil || fault.Is(err, fault.NotFound))
}

// restore replaces the ledger by its snapshot.
func (p *pair) restore(t *rapid.T) {
	claims, floor := p.ledger.Export()
	next := New(smallSettings())
	assert.NilError(t, next.Restore(claims, floor))
	p.ledger = next
}

func (p *pair) stepClock(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 61, -1, -30}).Draw(t, "seconds")) * time.Second)
}

// compare checks that both hold the same.
func (p *pair) compare(t *rapid.T) {
	claims, floor := p.ledger.Export()
	assert.Equal(t, floor, p.naive.floor)
	assert.Equal(t, len(claims), len(p.naive.entries))
	doubts, open, size := 0, 0, 0
	for _, c := range claims {
		assert.Equal(t, c.GetState(), p.naive.entries[naiveID(c)].state, "key %s", c.GetKey())
		size += sizeOf(c)
		switch c.GetState() {
		case inDoubt:
			doubts++
		case claimed:
			open++
		}
	}
	for _, run := range p.ledger.open {
		open -= len(run)
	}
	assert.Equal(t, open, 0)
	assert.Equal(t, doubts, len(p.ledger.InDoubt()))
	assert.Equal(t, size, p.ledger.bytes)
	assert.Equal(t, len(claims), p.ledger.Len())
}

func TestLedgerAgainstNaive(t *testing.T) {
	histories, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := smallSettings()
		p := &pair{
			ledger:  New(s),
			naive:   newNaiveLedger(s),
			now:     start,
			granted: map[entryID]string{},
			final:   map[entryID]*chicoryv1.Claim{},
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
				p.ledger.RouterLost(c.GetRouterId(), c.GetIncarnation(), p.now)
				p.naive.routerLost(c.GetRouterId(), c.GetIncarnation())
			},
			"expire": func(*rapid.T) {
				p.ledger.Expire(p.now)
				p.naive.expire(p.now)
			},
			"": func(t *rapid.T) {
				steps++
				p.compare(t)
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

func TestBytesAreBounded(t *testing.T) {
	s := DefaultSettings()
	s.MaxBytes = 10 * (entryOverheadBytes + 1000)
	l := New(s)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c := &chicoryv1.Claim{Team: "t", Key: NewKey(now), Nonce: "n"}
		assert.Equal(t, l.Claim(c, now).GetVerdict(), dispatch)
		c.State, c.Payload = done, make([]byte, 1000)
		assert.Equal(t, l.Close(c, now), done)
		assert.Assert(t, l.bytes <= s.MaxBytes)
	}
	assert.Assert(t, l.Len() >= 8 && l.Len() <= 10, "%d entries", l.Len())
}
