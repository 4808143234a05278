// Package share splits the new requests of a route between two versions on a
// router. If the router itself sees that the new version is clearly worse, it stops
// sending new requests there without waiting for the control leader.
package share

import (
	"hash/fnv"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

const permille = 1000

// ConfigSource provides the current configuration. config.Holder implements it.
type ConfigSource interface {
	Current() *config.View
}

// Chooser implements request.VersionChooser. It follows the open moves in the current
// configuration, and the Guard's decisions to stop a version.
type Chooser struct {
	source ConfigSource
	guard  *Guard
}

var _ request.VersionChooser = (*Chooser)(nil)

// NewChooser returns a Chooser. Without a guard, which may be nil, no version is
// ever stopped.
func NewChooser(source ConfigSource, guard *Guard) *Chooser {
	return &Chooser{source: source, guard: guard}
}

// Choose returns the version for a new request of the route. While the share of the
// new version grows, a request ID that was assigned to it stays assigned to it.
func (c *Chooser) Choose(route *chicoryv1.Route, requestID string) string {
	m := c.openMove(route)
	if m == nil {
		return route.GetVersion()
	}
	in := m.GetIntent()
	if hashPermille(m.GetId(), requestID) >= m.GetSharePermille() || c.guard.stopped(m) {
		return in.GetFrom()
	}
	return in.GetTo()
}

// openMove returns the open move of the route, or nil.
func (c *Chooser) openMove(route *chicoryv1.Route) *chicoryv1.Move {
	v := c.source.Current()
	if v == nil {
		return nil
	}
	return v.Move(route.GetName())
}

// hashPermille maps a request ID to a number from 0 to 999. The number is the same
// on every router and differs between moves.
func hashPermille(moveID, requestID string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(moveID))
	h.Write([]byte{0})
	h.Write([]byte(requestID))
	return uint32(splitmix64(h.Sum64()) % permille)
}

// splitmix64 is the output function of the SplitMix64 generator. It spreads the bits
// of FNV hashes, whose inputs differ in few bytes.
func splitmix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
