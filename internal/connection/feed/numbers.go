package feed

import (
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// engineNumbers numbers the engines of one feed at its server. Loads are most of what a leader
// sends, and an address takes most of a load.
type engineNumbers struct {
	// enabled: the follower understands numbers.
	enabled   bool
	byAddress map[string]uint32
	last      uint32
}

func (n *engineNumbers) reset() { n.byAddress, n.last = map[string]uint32{}, 0 }

// shorten replaces the address of a load by its number, or defines the number. A load of all
// zeros ends it.
func (n *engineNumbers) shorten(l *chicoryv1.EngineLoad) {
	if !n.enabled {
		return
	}
	address := l.GetAddress()
	number, known := n.byAddress[address]
	if known {
		l.Address, l.Number = "", number
	}
	switch ends := newLoad(l) == (load{}); {
	case ends:
		delete(n.byAddress, address)
	case !known:
		n.last++
		n.byAddress[address], l.Number = n.last, n.last
	}
}

// engineAddresses resolves the numbers of one feed at its follower.
type engineAddresses map[uint32]string

// complete sets the address of a load that has only a number. It fails if the feed has not
// defined the number.
func (a engineAddresses) complete(l *chicoryv1.EngineLoad) error {
	number := l.GetNumber()
	if number == 0 {
		return nil
	}
	if l.GetAddress() != "" {
		a[number] = l.GetAddress()
		return nil
	}
	address, ok := a[number]
	if !ok {
		return errors.NotFoundf("address of engine number %d", number)
	}
	l.Address = address
	if newLoad(l) == (load{}) {
		delete(a, number)
	}
	return nil
}
