package feed

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// TestChangesMakeOneListOfAnother: what a feed tells is the list itself.
func TestChangesMakeOneListOfAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawList(t, "from"), drawList(t, "to")
		before := proto.Clone(from)
		got := applyTargetChange(from, targetChange(from, to))
		assert.Assert(t, maps.EqualFunc(byStart(got), byStart(to), func(a, b *chicoryv1.ListedTarget) bool { return proto.Equal(a, b) }))
		assert.Equal(t, len(got.GetTargets()), len(to.GetTargets()), "no target is there twice")
		assert.Assert(t, proto.Equal(from, before), "the list before stays as it was")
		again := targetChange(to, to)
		assert.Equal(t, len(again.GetSet())+len(again.GetGone()), 0)
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

func byStart(list *chicoryv1.TargetList) map[Start]*chicoryv1.ListedTarget {
	m := map[Start]*chicoryv1.ListedTarget{}
	for _, t := range list.GetTargets() {
		m[StartOf(t)] = t
	}
	return m
}

// naiveLoads sums up what all entry VMs but one shared lately.
func naiveLoads(shares map[string]*chicoryv1.ShareRequest, at map[string]time.Time, except string, now time.Time) map[string]load {
	sum := map[string]load{}
	for entry, r := range shares {
		if entry == except || now.Sub(at[entry]) > loadLifetime {
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

// TestFollowersKnowTheLoads: what followers make of the changes that they are told is
// the sum of what all others share, whenever they were told last and whoever leads.
func TestFollowersKnowTheLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board, now := NewBoard(), time.Now()
		shares, at := map[string]*chicoryv1.ShareRequest{}, map[string]time.Time{}
		entries := []string{"a", "b", "c"}
		type follower struct {
			following *following
			known     *accumulated
		}
		followers := map[string]follower{}
		for _, e := range entries {
			followers[e] = follower{&following{s: NewServer(nil, board), entry: e}, &accumulated{}}
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
				board.Put(r, now)
				shares[entry], at[entry] = r, now
			case 1:
				followers[entry].following.led = false // it follows another leader meanwhile
			default:
				f := followers[entry]
				// The board looks for those that share no longer from time to time.
				board.sweptAt = time.Time{}
				m := &chicoryv1.FollowResponse{Leads: true}
				f.following.addLoads(m, now)
				f.known.takeLoads(m)
				got := map[string]load{}
				for _, l := range f.known.loadList() {
					got[l.GetAddress()] = loadOf(l)
				}
				assert.DeepEqual(t, got, naiveLoads(shares, at, entry, now), cmp.AllowUnexported(load{}))
			}
		}
	})
}

// TestMessageOfALeaderIsSmallHoweverManyEntryVMsThereAre. Load pattern: many entry VMs
// share the loads of many engines, and a few streams begin in each tenth of a second.
func TestMessageOfALeaderIsSmallHoweverManyEntryVMsThereAre(t *testing.T) {
	const entryVMs, engines, perEntry = 64, 120, 8
	board, now := NewBoard(), time.Now()
	share := func(entry, add int) {
		r := &chicoryv1.ShareRequest{EntryId: fmt.Sprint("entry", entry)}
		for i := range perEntry {
			r.Loads = append(r.Loads, &chicoryv1.EngineLoad{Address: fmt.Sprint("engine", (entry*perEntry+i)%engines), Tokens: uint32(5000 + add)})
		}
		board.Put(r, now)
	}
	for e := range entryVMs {
		share(e, 0)
	}
	f := &following{s: NewServer(nil, board), entry: "entry0"}
	m := &chicoryv1.FollowResponse{Leads: true}
	assert.Assert(t, f.addLoads(m, now))
	assert.Equal(t, len(m.GetLoads()), engines, "the first message tells all")
	m = &chicoryv1.FollowResponse{Leads: true}
	assert.Assert(t, !f.addLoads(m, now), "nothing changed")
	share(5, 100)
	share(0, 100)
	m = &chicoryv1.FollowResponse{Leads: true}
	assert.Assert(t, f.addLoads(m, now))
	assert.Equal(t, len(m.GetLoads()), perEntry, "only what another entry VM changed is told")
}

func TestNews(t *testing.T) {
	loads := func(tokens uint32) *chicoryv1.ShareRequest {
		return &chicoryv1.ShareRequest{Loads: []*chicoryv1.EngineLoad{{Address: "e", Tokens: tokens}}}
	}
	uses := func(requests, further uint32) *chicoryv1.ShareRequest {
		return &chicoryv1.ShareRequest{Uses: []*chicoryv1.ServiceUse{{Service: "s", Requests: requests, FurtherAttempts: further}}}
	}
	assert.Assert(t, !isNews(loads(1), loads(1)))
	assert.Assert(t, isNews(loads(1), loads(2)))
	assert.Assert(t, isNews(loads(1), &chicoryv1.ShareRequest{}))
	assert.Assert(t, isNews(nil, loads(1)))
	assert.Assert(t, !isNews(uses(1, 1), uses(2, 1)), "requests alone can wait")
	assert.Assert(t, isNews(uses(1, 1), uses(1, 2)))
	assert.Assert(t, isNews(nil, &chicoryv1.ShareRequest{Places: []*chicoryv1.PromptPlace{placeOf("p", "e")}}))
}
