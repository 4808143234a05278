package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// serviceDecoder decodes documents whose first byte is the version and whose rest is the name
// of the only service. If shortFrom is not 0, routes have shortTimeout from that version on.
type serviceDecoder struct{ shortFrom byte }

const (
	routeTimeout = 25 * time.Second
	shortTimeout = time.Second
)

func (d serviceDecoder) DecodeConfiguration(document []byte) (*declared.Configuration, error) {
	timeout := routeTimeout
	if d.shortFrom > 0 && document[0] >= d.shortFrom {
		timeout = shortTimeout
	}
	return &declared.Configuration{
		Version:  uint64(document[0]),
		Routes:   []declared.Route{{Name: "r", Timeout: timeout}},
		Services: []declared.Service{{Name: string(document[1:]), Engine: &declared.Engine{KVCapacityTokens: 1000}}},
	}, nil
}

func (r *routingState) declare(version byte, service string) {
	r.ApplyDeclaration(&chicoryv1.Declaration{Version: uint64(version), Document: append([]byte{version}, service...)}, "c1")
}

// TestRemovedServiceServesEarlierRequests guards against a stream that is truncated, or a call
// that fails, because its service left the configuration while it ran.
func TestRemovedServiceServesEarlierRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.decoder = serviceDecoder{}
		place := func() error {
			_, err := r.engines.Place(placement.PlaceRequest{Service: "desk"})
			return err
		}
		r.declare(1, "desk")
		r.SetTargets(targetList(target("1", false), target("2", false)), readNow())
		r.declare(2, "other")
		assert.NilError(t, place())
		assert.DeepEqual(t, r.instancesInUse(), []string{"1", "2"})

		time.Sleep(routeTimeout - time.Second)
		r.declare(3, "third")
		r.SetTargets(targetList(target("1", true), target("2", false)), readNow())
		assert.NilError(t, place())
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"})

		time.Sleep(2 * time.Second)
		r.SetTargets(targetList(target("2", false)), readNow())
		assert.Assert(t, place() != nil)
		assert.DeepEqual(t, r.instancesInUse(), []string(nil))
	})
}

// TestRemovedServiceReturns guards against forgetting a service that a later configuration has
// again.
func TestRemovedServiceReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.decoder = serviceDecoder{}
		r.SetTargets(targetList(target("1", false)), readNow())
		r.declare(1, "desk")
		r.declare(2, "other")
		r.declare(3, "desk")
		time.Sleep(2 * routeTimeout)
		r.SetTargets(targetList(target("1", false)), readNow())
		assert.DeepEqual(t, r.instancesInUse(), []string{"1"})
	})
}

// TestRemovedServiceServesRequestsOfALongerTimeout guards against a stream that is truncated
// because its service was removed after the timeout of its route was shortened: it was admitted
// before both and keeps its deadline.
func TestRemovedServiceServesRequestsOfALongerTimeout(t *testing.T) {
	for name, services := range map[string][]string{
		"shortened, then removed":       {"desk", "desk", "other"},
		"removed, returned and removed": {"desk", "other", "desk", "other"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRoutingState()
				r.decoder = serviceDecoder{shortFrom: 2}
				r.SetTargets(targetList(target("1", false), target("2", false)), readNow())
				for i, service := range services {
					r.declare(byte(i+1), service)
				}
				time.Sleep(routeTimeout - time.Second)
				r.SetTargets(targetList(target("1", true), target("2", false)), readNow())
				assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
				time.Sleep(2 * time.Second)
				r.SetTargets(targetList(target("2", false)), readNow())
				assert.DeepEqual(t, r.instancesInUse(), []string(nil))
			})
		})
	}
}
