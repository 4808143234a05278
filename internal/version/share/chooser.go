// Package share splits a route's new requests between two versions on a router,
// and stops new requests to a version that is clearly bad as seen by this router,
// without waiting for control.
package share

import (
	"hash/fnv"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

const permille = 1000

// Viewer gives the configuration in force; config.Holder is one.
type Viewer interface {
	Current() *config.View
}

// Chooser implements request.VersionChooser by the open moves in the
// configuration in force and by the router's own stops.
type Chooser struct {
	view  Viewer
	guard *Guard
}

var _ request.VersionChooser = (*Chooser)(nil)

// NewChooser returns a chooser; guard may be nil.
func NewChooser(view Viewer, guard *Guard) *Chooser {
	return &Chooser{view: view, guard: guard}
}

// Choose returns the version for a new request of the route. A growing share
// never takes a request identity back from the new version to the old one.
func (c *Chooser) Choose(route *chicoryv1.Route, requestID string) string {
	m := c.openMove(route)
	if m == nil {
		return route.GetVersion()
	}
	in := m.GetIntent()
	if place(m.GetId(), requestID) >= m.GetSharePermille() || c.guard.stopped(m) {
		return in.GetFrom()
	}
	return in.GetTo()
}

func (c *Chooser) openMove(route *chicoryv1.Route) *chicoryv1.Move {
	v := c.view.Current()
	if v == nil {
		return nil
	}
	return v.Move(route.GetName())
}

// place maps a request to 0 up to 999, the same on every router.
func place(moveID, requestID string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(moveID))
	h.Write([]byte{0})
	h.Write([]byte(requestID))
	return uint32(mix(h.Sum64()) % permille)
}

// mix spreads the bits of a hash whose inputs differ in few bytes (splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
