package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

func newSpeed(address string, percent uint32) *chicoryv1.TargetSpeed {
	return &chicoryv1.TargetSpeed{Address: address, Instance: "i", Percent: percent, Weight: 8}
}

func shareSpeeds(to *SharedState, speeds ...*chicoryv1.TargetSpeed) {
	to.Update(&chicoryv1.ShareRequest{EntryId: "entry1", Speeds: speeds}, time.Now())
}

// TestSpeedsReachFollowersOnce guards against estimates that only the VM has that made them, and
// against messages that repeat unchanged ones.
func TestSpeedsReachFollowersOnce(t *testing.T) {
	state := NewSharedState()
	source := &staticSource{members: []string{"c1"}, list: &chicoryv1.TargetList{}}
	f := &followerState{server: NewServer(source, state), entryID: "entry2"}
	shareSpeeds(state, newSpeed("e1", 160), newSpeed("e2", 104))
	m, _, _ := f.nextMessage()
	assert.Equal(t, len(m.GetSpeeds()), 1, "only what differs from the usual by a tenth: %v", m.GetSpeeds())
	assert.Equal(t, m.GetSpeeds()[0].GetAddress(), "e1")
	assert.Equal(t, m.GetSpeeds()[0].GetPercent(), uint32(160))
	shareSpeeds(state, newSpeed("e2", 103))
	m, _, _ = f.nextMessage()
	assert.Equal(t, len(m.GetSpeeds()), 0)

	source.follows = "c2"
	f.nextMessage()
	source.follows = ""
	m, _, _ = f.nextMessage()
	assert.Equal(t, len(m.GetSpeeds()), 1, "sent again by a control VM that leads again")
}

// TestSpeedsFollowTheList guards against estimates that a new follower ignores because it does not
// have the list of targets yet.
func TestSpeedsFollowTheList(t *testing.T) {
	list := &chicoryv1.TargetList{}
	for i := range 2*maxTargetsPerMessage + 1 {
		list.Targets = append(list.Targets, &chicoryv1.ListedTarget{Address: fmt.Sprint("e", i), Instance: "i"})
	}
	state := NewSharedState()
	shareSpeeds(state, newSpeed("e1", 160))
	f := &followerState{server: NewServer(&staticSource{members: []string{"c1"}, list: list}, state), entryID: "entry2", knowsPartialLists: true}
	for range 2 {
		m, _, _ := f.nextMessage()
		assert.Assert(t, m.GetListContinues())
		assert.Equal(t, len(m.GetSpeeds()), 0)
	}
	m, _, _ := f.nextMessage()
	assert.Assert(t, !m.GetListContinues())
	assert.Equal(t, len(m.GetSpeeds()), 1)
}

// TestSpeedsAreUrgent guards against estimates that are taken from the table and not sent.
func TestSpeedsAreUrgent(t *testing.T) {
	assert.Assert(t, isUrgent(nil, &chicoryv1.ShareRequest{Speeds: []*chicoryv1.TargetSpeed{newSpeed("e", 150)}}))
}
