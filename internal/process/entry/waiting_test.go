package entry

import (
	"testing"

	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/request/dispatchqueue"
)

// fixedQueue is a queue in which the same streams always wait.
type fixedQueue struct {
	demand, remote []dispatchqueue.Demand
}

func (q *fixedQueue) Demand() []dispatchqueue.Demand { return q.demand }

func (q *fixedQueue) SetRemoteDemand(demand []dispatchqueue.Demand) { q.remote = demand }

// TestWaitingStreamsAreSharedUnchanged guards against demand that is lost between the queue and the feed.
func TestWaitingStreamsAreSharedUnchanged(t *testing.T) {
	r := newTestRoutingState()
	assert.Equal(t, len(r.LocalState(false).GetWaiting()), 0)
	q := &fixedQueue{demand: []dispatchqueue.Demand{{Service: "s", Priority: 2, Requests: 3, PromptTokens: 15_000}}}
	r.queue = q
	waiting := r.LocalState(false).GetWaiting()
	assert.DeepEqual(t, waiting, []*chicoryv1.WaitingDemand{{Service: "s", Priority: 2, Requests: 3, PromptTokens: 15_000}}, protocmp.Transform())
	r.SetRemoteState(feed.RemoteState{Waiting: waiting})
	assert.DeepEqual(t, q.remote, q.demand)
	r.SetRemoteState(feed.RemoteState{})
	assert.Equal(t, len(q.remote), 0)
}
