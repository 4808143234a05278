package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
)

func newQuarantine() *quarantine.Table {
	return quarantine.NewTable(quarantine.Options{Random: func() float64 { return 0 }})
}

// quarantinedPart returns a table in which three engines were lost with the part.
func quarantinedPart(part string) *quarantine.Table {
	table := newQuarantine()
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		table.RecordLoss([]string{part}, quarantine.Loss{Target: quarantine.Target{Address: fmt.Sprint("e", i), Instance: "i"}, SentAt: at, At: at})
	}
	return table
}

func shareSuspects(from *quarantine.Table, to *SharedState) {
	suspects, _ := from.LocalChanges(0, time.Now())
	to.Update(&chicoryv1.ShareRequest{EntryId: "entry1", Suspects: suspects}, time.Now())
}

// learns reports whether a VM that begins to follow the control VM refuses the part.
func learns(server *Server, part string) bool {
	f := &followerState{server: server, entryID: "late"}
	m, _, _ := f.nextMessage()
	table := newQuarantine()
	table.Merge(m.GetSuspects(), time.Now())
	return table.Admit([]string{part}, time.Now()).Refused
}

// An entry VM that is started or was cut off while engines crashed crashes further ones.
func TestEntryVMThatStartsLateLearnsOfAQuarantine(t *testing.T) {
	state := NewSharedState()
	shareSuspects(quarantinedPart("deadly"), state)
	assert.Assert(t, learns(NewServer(&staticSource{members: []string{"c1"}}, state), "deadly"))
	assert.Assert(t, learns(NewServer(&staticSource{members: []string{"c1"}, follows: "c2"}, state), "deadly"))
}

// The leader that knew of a quarantine is lost, with or without the entry VMs that shared it.
func TestQuarantineOutlivesTheLeader(t *testing.T) {
	entry, first, second, third := quarantinedPart("deadly"), NewSharedState(), NewSharedState(), NewSharedState()
	shareSuspects(entry, first)

	shareSuspects(entry, second)
	assert.Assert(t, learns(NewServer(&staticSource{members: []string{"c2"}}, second), "deadly"), "shared again")

	kept, _ := first.SuspectsSince(0, time.Now())
	third.MergeSuspects(kept, time.Now())
	assert.Assert(t, learns(NewServer(&staticSource{members: []string{"c3"}}, third), "deadly"), "kept by a control VM")
}

// Every crash has many suspects, most of which no other entry VM will ever meet.
func TestPartsLostOnceAreNotSentToEntryVMs(t *testing.T) {
	state := NewSharedState()
	table := newQuarantine()
	for i := range 50 {
		table.RecordLoss([]string{fmt.Sprint("p", i)}, quarantine.Loss{Target: quarantine.Target{Address: "e", Instance: "i"}, At: time.Now()})
	}
	shareSuspects(table, state)
	f := &followerState{server: NewServer(&staticSource{members: []string{"c1"}}, state), entryID: "entry2"}
	m, _, _ := f.nextMessage()
	assert.Equal(t, len(m.GetSuspects()), 0)
}

// A follower gets each change of a suspect part once.
func TestSuspectsAreSentOnce(t *testing.T) {
	state, entry := NewSharedState(), quarantinedPart("deadly")
	shareSuspects(entry, state)
	f := &followerState{server: NewServer(&staticSource{members: []string{"c1"}}, state), entryID: "entry2"}
	m, _, _ := f.nextMessage()
	assert.Equal(t, len(m.GetSuspects()), 1)
	shareSuspects(entry, state)
	time.Sleep(time.Millisecond)
	m, _, _ = f.nextMessage()
	assert.Equal(t, len(m.GetSuspects()), 0)
}

// A change of suspect parts is shared at once, and not with the next load.
func TestSuspectsAreUrgent(t *testing.T) {
	assert.Assert(t, isUrgent(nil, &chicoryv1.ShareRequest{Suspects: []*chicoryv1.SuspectPart{{Part: "p"}}}))
}
