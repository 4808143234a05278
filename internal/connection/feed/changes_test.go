package feed

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
)

// TestTargetListChangeYieldsNewList checks that applying the change between two lists to
// the first one yields the second.
func TestTargetListChangeYieldsNewList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawList(t, "from"), drawList(t, "to")
		before := proto.Clone(from)
		got := applyTargetChange(from, diffTargetLists(from, to))
		assert.Assert(t, maps.EqualFunc(byInstance(got), byInstance(to), func(a, b *chicoryv1.ListedTarget) bool { return proto.Equal(a, b) }))
		assert.Equal(t, len(got.GetTargets()), len(to.GetTargets()), "no target is in the list twice")
		assert.Assert(t, proto.Equal(from, before), "the previous list is not modified")
		none := diffTargetLists(to, to)
		assert.Equal(t, len(none.GetSet())+len(none.GetGone()), 0)
	})
}

func drawList(t *rapid.T, name string) *chicoryv1.TargetList {
	starts := rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 8, rapid.ID[int]).Draw(t, name)
	list := &chicoryv1.TargetList{}
	for _, n := range starts {
		list.Targets = append(list.Targets, &chicoryv1.ListedTarget{
			Address: fmt.Sprint("address", n%4), Instance: fmt.Sprint("start", n/4), Leaving: rapid.Bool().Draw(t, name+" leaving"),
		})
	}
	return list
}

func byInstance(list *chicoryv1.TargetList) map[TargetInstance]*chicoryv1.ListedTarget {
	m := map[TargetInstance]*chicoryv1.ListedTarget{}
	for _, t := range list.GetTargets() {
		m[TargetInstanceOf(t)] = t
	}
	return m
}

// expectedLoads sums the unexpired loads shared by all entry VMs except one. It is the
// reference for the incremental totals.
func expectedLoads(shares map[string]*chicoryv1.ShareRequest, sharedAt map[string]time.Time, except string, now time.Time) map[string]load {
	sum := map[string]load{}
	for entry, r := range shares {
		if entry == except || now.Sub(sharedAt[entry]) > loadLifetime {
			continue
		}
		for _, l := range r.GetLoads() {
			s := sum[l.GetAddress()]
			sum[l.GetAddress()] = load{s.tokens + l.GetTokens(), s.unread + l.GetUnread(), s.backups + l.GetBackups()}
		}
	}
	maps.DeleteFunc(sum, func(_ string, l load) bool { return l == load{} })
	return sum
}

// TestFollowersKnowRemoteLoads checks that the loads that a follower accumulates from
// incremental messages equal the sum of what all other entry VMs share, regardless of
// when it received the last message and of leader changes.
func TestFollowersKnowRemoteLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := NewSharedState(), time.Now()
		shares, sharedAt := map[string]*chicoryv1.ShareRequest{}, map[string]time.Time{}
		entries := []string{"a", "b", "c"}
		type follower struct {
			sent     *followerState
			received *feedState
		}
		followers := map[string]follower{}
		for _, e := range entries {
			numbers := engineNumbers{enabled: rapid.Bool().Draw(t, "numbers")}
			followers[e] = follower{&followerState{server: NewServer(nil, state), entryID: e, numbers: numbers}, &feedState{}}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			entry := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				r := &chicoryv1.ShareRequest{EntryId: entry}
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 3, rapid.ID[int]).Draw(t, "engines") {
					r.Loads = append(r.Loads, &chicoryv1.EngineLoad{
						Address: fmt.Sprint("engine", n), Tokens: uint32(rapid.IntRange(0, 2).Draw(t, "tokens")), Unread: uint32(rapid.IntRange(0, 1).Draw(t, "unread")),
						Backups: uint32(rapid.IntRange(0, 1).Draw(t, "backups")),
					})
				}
				state.Update(r, now)
				shares[entry], sharedAt[entry] = r, now
			case 1:
				followers[entry].sent.wasLeader = false // as after following another leader
			default:
				f := followers[entry]
				// Expired entry VMs are otherwise removed only at intervals.
				state.expiryCheckedAt = time.Time{}
				m := &chicoryv1.FollowResponse{Leads: true}
				f.sent.addLoads(m, now)
				assert.NilError(t, f.received.applyLoads(m))
				got := map[string]load{}
				for _, l := range f.received.loadList() {
					got[l.GetAddress()] = newLoad(l)
				}
				assert.DeepEqual(t, got, expectedLoads(shares, sharedAt, entry, now), cmp.AllowUnexported(load{}))
			}
		}
	})
}

// TestLeaderMessageContainsOnlyChangedLoads checks that the size of a message depends
// on the number of changed loads and not on the number of entry VMs. Load pattern: many
// entry VMs share the loads of many engines, and a few streams start in every interval
// of 100 ms.
func TestLeaderMessageContainsOnlyChangedLoads(t *testing.T) {
	const entryVMs, engines, perEntry = 64, 120, 8
	state, now := NewSharedState(), time.Now()
	share := func(entry, add int) {
		r := &chicoryv1.ShareRequest{EntryId: fmt.Sprint("entry", entry)}
		for i := range perEntry {
			r.Loads = append(r.Loads, &chicoryv1.EngineLoad{Address: fmt.Sprint("engine", (entry*perEntry+i)%engines), Tokens: uint32(5000 + add)})
		}
		state.Update(r, now)
	}
	for e := range entryVMs {
		share(e, 0)
	}
	f := &followerState{server: NewServer(nil, state), entryID: "entry0"}
	m := &chicoryv1.FollowResponse{Leads: true}
	assert.Assert(t, f.addLoads(m, now))
	assert.Equal(t, len(m.GetLoads()), engines, "the first message contains all loads")
	m = &chicoryv1.FollowResponse{Leads: true}
	assert.Assert(t, !f.addLoads(m, now), "nothing changed")
	share(5, 100)
	share(0, 100)
	m = &chicoryv1.FollowResponse{Leads: true}
	assert.Assert(t, f.addLoads(m, now))
	assert.Equal(t, len(m.GetLoads()), perEntry, "only the loads changed by other entry VMs are sent")
}

// TestLeaderMessagesAreSmall checks the size of the messages that a leader sends to each entry
// VM, most of them to another zone. Load pattern: 40 streams a second on 156 engines, each of
// which changes the load of two engines three times, so that each message of 100 ms has the
// loads of some 20 engines.
func TestLeaderMessagesAreSmall(t *testing.T) {
	const engines, changedPerMessage, messages = 156, 20, 100
	const maxMeanBytes = 300
	state, now := NewSharedState(), time.Now()
	members := []string{}
	for i := range 9 {
		members = append(members, fmt.Sprintf("10.%d.0.21:7200", i))
	}
	f := &followerState{server: NewServer(&staticSource{members: members}, state), entryID: "entry0"}
	f.numbers.enabled = true
	received, total := &feedState{}, 0
	for n := range messages {
		r := &chicoryv1.ShareRequest{EntryId: "entry1"}
		for i := range engines {
			tokens := 5000 + n - (i+n*changedPerMessage)%engines/changedPerMessage
			r.Loads = append(r.Loads, &chicoryv1.EngineLoad{Address: fmt.Sprintf("10.200.%d.17:8367", i), Tokens: uint32(tokens), Unread: 4000, Backups: 9000})
		}
		state.Update(r, now)
		m, _, _ := f.nextMessage()
		if n > 0 {
			total += proto.Size(m)
		}
		assert.NilError(t, received.applyLoads(m))
		assert.Equal(t, len(received.loadList()), engines)
	}
	mean := total / (messages - 1)
	assert.Assert(t, mean <= maxMeanBytes*len(received.loadList())/engines, "a message has %d bytes", mean)
}

// TestLongListArrivesInParts checks that a list of thousands of targets, which fills the link
// of an entry VM for longer than it waits for a message, comes in small messages and is not
// used before it is complete, and that a follower of an earlier release gets it at once.
func TestLongListArrivesInParts(t *testing.T) {
	const targets = 3001
	list := &chicoryv1.TargetList{}
	for i := range targets {
		list.Targets = append(list.Targets, &chicoryv1.ListedTarget{Address: fmt.Sprint("t", i), Instance: fmt.Sprint("i", i)})
	}
	source := &staticSource{members: []string{"c1"}, list: list}
	f := &followerState{server: NewServer(source, NewSharedState()), knowsPartialLists: true}
	received, messages := &feedState{}, 0
	for complete := false; !complete; messages++ {
		m, _, _ := f.nextMessage()
		assert.Assert(t, len(m.GetTargets().GetTargets())+len(m.GetTargetChange().GetSet()) <= maxTargetsPerMessage)
		complete = received.applyTargets(m, time.Now())
		assert.Equal(t, m.GetListIsFresh(), complete)
		assert.Equal(t, len(f.unsentTargets) == 0, complete)
	}
	assert.Equal(t, messages, (targets+maxTargetsPerMessage-1)/maxTargetsPerMessage)
	assert.Assert(t, proto.Equal(received.list, list))

	earlier := &followerState{server: NewServer(source, NewSharedState())}
	m, _, _ := earlier.nextMessage()
	assert.Equal(t, len(m.GetTargets().GetTargets()), targets)
	assert.Assert(t, m.GetListIsFresh())
}

// TestListChangeIsComputedOnce checks the time that a control VM needs to tell its followers of
// a change of the list. Load pattern: 300 VMs follow the changes of 3,001 targets, and a follower
// gives a feed up after 0.9 s without a message.
func TestListChangeIsComputedOnce(t *testing.T) {
	const followers, targets = 300, 3001
	list := func(first string) *chicoryv1.TargetList {
		l := &chicoryv1.TargetList{Targets: []*chicoryv1.ListedTarget{{Address: first, Instance: first}}}
		for i := range targets - 1 {
			l.Targets = append(l.Targets, &chicoryv1.ListedTarget{Address: fmt.Sprint("t", i), Instance: fmt.Sprint("i", i)})
		}
		return l
	}
	source := &staticSource{members: []string{"c1"}, list: list("a")}
	server := NewServer(source, NewSharedState())
	var all []*followerState
	for range followers {
		f := &followerState{server: server}
		f.nextMessage()
		all = append(all, f)
	}
	source.list = list("b")
	changes := map[*chicoryv1.TargetListChange]bool{}
	for _, f := range all {
		m, _, _ := f.nextMessage()
		changes[m.GetTargetChange()] = true
		assert.Equal(t, len(m.GetTargetChange().GetSet()), 1)
		assert.Equal(t, len(m.GetTargetChange().GetGone()), 1)
	}
	assert.Equal(t, len(changes), 1, "computed once for all followers")
}

// TestOnlyTheLeaderSendsNewPromptLocations checks that the locations of new prompts, some 40 a
// second on a large deployment, reach a follower once and not on each of its feeds, and that
// none is missing after a change of the leader.
func TestOnlyTheLeaderSendsNewPromptLocations(t *testing.T) {
	state := NewSharedState()
	add := func(prompt string) { state.AddPromptLocations([]*chicoryv1.PromptPlace{newLocation(prompt, "e")}) }
	source := &staticSource{members: []string{"c1"}, follows: "c2"}
	f := &followerState{server: NewServer(source, state), entryID: "entry0"}
	received := func() (prompts []string) {
		m, _, _ := f.nextMessage()
		for _, p := range m.GetPlaces() {
			prompts = append(prompts, p.GetPrompt())
		}
		return prompts
	}
	add("known before")
	assert.DeepEqual(t, received(), []string{"known before"})
	add("new")
	assert.Equal(t, len(received()), 0, "the leader sends it")
	source.follows = ""
	assert.DeepEqual(t, received(), []string{"new"})
	add("newer")
	assert.DeepEqual(t, received(), []string{"newer"})
}

// staticSource is the source of a leader whose members do not change, or of a control VM that
// follows another one.
// A follower that misses a change of the leader keeps following a control VM that does not
// lead, and shares with one that no longer does: between two keepalives, a message with
// nothing else to send isn't sent.
func TestLeaderChangeBetweenKeepalivesReachesTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &staticSource{members: []string{"c1"}, follows: "c2"}
		f := &followerState{server: NewServer(source, NewSharedState())}
		m, _, _ := f.nextMessage()
		assert.Equal(t, m.GetLeader(), "c2")
		time.Sleep(ShareInterval)
		source.members, source.follows = []string{"c1", "c3"}, "c3"
		leader, members := "", []string(nil)
		for elapsed := time.Duration(0); elapsed <= KeepaliveInterval; elapsed += ShareInterval {
			if m, _, _ := f.nextMessage(); m != nil {
				leader, members = leader+m.GetLeader(), append(members, m.GetControlAddresses()...)
			}
			time.Sleep(ShareInterval)
		}
		assert.Equal(t, leader, "c3")
		assert.DeepEqual(t, members, []string{"c1", "c3"})
	})
}

type staticSource struct {
	members []string
	follows string
	list    *chicoryv1.TargetList
}

func (s *staticSource) Declaration() (*chicoryv1.Declaration, <-chan struct{}) { return nil, nil }

func (s *staticSource) Targets() (*chicoryv1.TargetList, observe.Reading, <-chan struct{}) {
	return s.list, observe.Reading{Began: time.Now(), Ended: time.Now()}, nil
}

func (s *staticSource) Members() (addresses []string, leader string, leads bool) {
	if s.follows != "" {
		return s.members, s.follows, false
	}
	return s.members, s.members[0], true
}

func TestIsUrgent(t *testing.T) {
	loads := func(tokens uint32) *chicoryv1.ShareRequest {
		return &chicoryv1.ShareRequest{Loads: []*chicoryv1.EngineLoad{{Address: "e", Tokens: tokens}}}
	}
	uses := func(requests, further uint32) *chicoryv1.ShareRequest {
		return &chicoryv1.ShareRequest{Uses: []*chicoryv1.ServiceUse{{Service: "s", Requests: requests, FurtherAttempts: further}}}
	}
	assert.Assert(t, !isUrgent(loads(1), loads(1)))
	assert.Assert(t, isUrgent(loads(1), loads(2)))
	assert.Assert(t, isUrgent(loads(1), &chicoryv1.ShareRequest{}))
	assert.Assert(t, isUrgent(nil, loads(1)))
	assert.Assert(t, !isUrgent(uses(1, 1), uses(2, 1)), "request counts alone are not urgent")
	assert.Assert(t, isUrgent(uses(1, 1), uses(1, 2)))
	assert.Assert(t, isUrgent(nil, &chicoryv1.ShareRequest{Places: []*chicoryv1.PromptPlace{newLocation("p", "e")}}))
}
