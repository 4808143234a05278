package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

const (
	messageInterval = 100 * time.Millisecond
	messageDelay    = 2 * time.Millisecond
	// listLag is the time after which the list shows another start of a target.
	listLag     = time.Second
	runTime     = 30 * time.Millisecond
	crashTime   = 50 * time.Millisecond
	maxAttempts = 2
	// contactTime is the time after the third crash from which maxLate requests may reach targets.
	contactTime = 3 * time.Second
	maxLate     = 3
	deadly      = "request/deadly"
)

// server is a target that starts again after a crash.
type server struct {
	zone     string
	starts   int
	down     bool
	listed   int
	inFlight map[chan bool]bool // receives false if the server is lost
}

// fleet is a set of entry VMs that share a quarantine, and the targets that they call.
type fleet struct {
	restart time.Duration
	entries []*Table
	leader  *Table

	mu      sync.Mutex // guards the fields below
	servers []*server
	// received holds when targets received the deadly call, crashes when they crashed on it.
	received, crashes []time.Time
	answers           []fleetAnswer
}

type fleetAnswer struct {
	key    string
	at     time.Time
	served bool
}

func newFleet(ctx context.Context, entries, servers, zones int, restart time.Duration) *fleet {
	f := &fleet{restart: restart, leader: newTestTable()}
	for i := range servers {
		f.servers = append(f.servers, &server{zone: fmt.Sprint(i % zones), inFlight: map[chan bool]bool{}})
	}
	for i := range entries {
		f.entries = append(f.entries, NewTable(Options{ID: fmt.Sprint(i), Random: rand.Float64}))
		go f.exchange(ctx, i)
	}
	return f
}

// exchange exchanges changes between an entry VM and the leader until ctx ends.
func (f *fleet) exchange(ctx context.Context, entry int) {
	pause.For(ctx, rand.N(messageInterval))
	var toLeader, toEntry uint64
	var changes []*chicoryv1.SuspectPart
	for pause.For(ctx, messageInterval) {
		changes, toLeader = f.entries[entry].LocalChanges(toLeader, time.Now())
		pause.For(ctx, messageDelay)
		f.leader.Merge(changes, time.Now())
		f.leader.GrantTrials(fmt.Sprint(entry), changes, time.Now())
		changes, toEntry = f.leader.RecurrentChanges(toEntry, time.Now())
		pause.For(ctx, messageDelay)
		f.entries[entry].Merge(changes, time.Now())
	}
}

// crash ends a server and all calls that it runs. The caller holds mu.
func (f *fleet) crash(s *server) {
	if s.down {
		return
	}
	s.down = true
	for c := range s.inFlight {
		c <- false
	}
	s.inFlight = map[chan bool]bool{}
	time.AfterFunc(f.restart, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.down, s.starts = false, s.starts+1
		starts := s.starts
		time.AfterFunc(listLag, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			s.listed = max(s.listed, starts)
		})
	})
}

// load sends a call with a key at each entry VM, one per interval, until ctx ends.
func (f *fleet) load(ctx context.Context, key string, interval time.Duration) {
	for i := range f.entries {
		go func() {
			pause.For(ctx, rand.N(interval))
			for pause.For(ctx, interval) {
				go f.call(i, key)
			}
		}()
	}
}

func (f *fleet) call(entry int, key string) {
	t, keys, begin := f.entries[entry], []string{key}, time.Now()
	a := t.Admit(keys, begin)
	served, sent := false, false
	for attempt := 0; !a.Refused && !served && attempt < maxAttempts && !(a.Trial && sent); attempt++ {
		if attempt > 0 && !a.Trial && t.Check(keys, time.Now()).Refused {
			break
		}
		i := rand.IntN(len(f.servers))
		target := f.listedTarget(i)
		if a.Trial && t.IsLost(target, a.Keys, time.Now()) {
			continue
		}
		result := f.send(t, i, target, key, a)
		served, sent = result == answered, sent || result != notSent
	}
	if a.Trial && !sent {
		t.CancelTrial(a.Keys)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers = append(f.answers, fleetAnswer{key, begin, served})
}

func (f *fleet) listedTarget(i int) Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Target{Address: fmt.Sprint(i), Instance: fmt.Sprint(f.servers[i].listed), AvailabilityZone: f.servers[i].zone}
}

// The results of sending a call.
const (
	notSent = iota
	refused
	lost
	answered
)

// send sends a call to a server and records the result.
func (f *fleet) send(t *Table, i int, target Target, key string, a Admission) int {
	sentAt, result := time.Now(), make(chan bool, 1)
	f.mu.Lock()
	s := f.servers[i]
	if s.down {
		f.mu.Unlock()
		return notSent
	}
	if key == deadly {
		f.received = append(f.received, sentAt)
	}
	isListed := fmt.Sprint(s.starts) == target.Instance
	if isListed {
		s.inFlight[result] = true
	}
	f.mu.Unlock()
	var trialKeys []string
	if a.Trial {
		trialKeys = a.Keys
		t.RecordTrial(trialKeys, sentAt)
	}
	if !isListed {
		return refused
	}
	duration := runTime
	if key == deadly {
		duration = crashTime
	}
	time.AfterFunc(duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !s.inFlight[result] {
			return
		}
		if key == deadly {
			f.crashes = append(f.crashes, time.Now())
			f.crash(s)
			return
		}
		delete(s.inFlight, result)
		result <- true
	})
	if !<-result {
		t.RecordLoss([]string{key}, Loss{Target: target, SentAt: sentAt, At: time.Now(), TrialKeys: trialKeys})
		return lost
	}
	t.RecordBegun([]string{key}, time.Now())
	return answered
}

// lateRequests returns how often the deadly call reached targets when all VMs could know it.
func (f *fleet) lateRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < minLosses {
		return 0
	}
	late := 0
	for _, at := range f.received {
		if at.Sub(f.crashes[minLosses-1]) > contactTime {
			late++
		}
	}
	return late
}

// servedShare returns the share of the calls with a key that were sent from a time on and served.
func (f *fleet) servedShare(key string, from time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	served, all := 0, 0
	for _, a := range f.answers {
		if a.key == key && !a.at.Before(from) {
			all++
			if a.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

// TestDeadlyCallIsKeptOutAndSoundOnesServed generates fleets in which a call crashes each target
// that runs it, and targets are lost for other reasons as well. The deadly call reaches targets
// at most three times once all VMs can know it, and sound calls are served again soon.
func TestDeadlyCallIsKeptOutAndSoundOnesServed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries, servers := rapid.IntRange(1, 9).Draw(rt, "entries"), rapid.IntRange(3, 8).Draw(rt, "servers")
		zones, restart := rapid.IntRange(1, 3).Draw(rt, "zones"), time.Duration(rapid.IntRange(1000, 4000).Draw(rt, "restart"))*time.Millisecond
		interval := time.Duration(rapid.IntRange(100, 1000).Draw(rt, "interval")) * time.Millisecond
		others := rapid.SliceOfN(rapid.IntRange(0, 10), 3, 3).Draw(rt, "other crashes")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			f := newFleet(ctx, entries, servers, zones, restart)
			f.load(ctx, "request/popular", 100*time.Millisecond)
			f.load(ctx, "request/rare", 2*time.Second)
			time.Sleep(5 * time.Second)
			f.load(ctx, deadly, interval)
			for _, at := range others {
				time.AfterFunc(time.Duration(at)*time.Second, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.crash(f.servers[at%servers])
				})
			}
			time.Sleep(20 * time.Second)
			settled := time.Now()
			time.Sleep(100 * time.Second)
			stop()
			time.Sleep(time.Second)
			if late := f.lateRequests(); late > maxLate {
				failure = fmt.Sprintf("the deadly call reached targets %d times late", late)
			}
			for _, sound := range []string{"request/popular", "request/rare"} {
				if share := f.servedShare(sound, settled); share < 0.9 {
					failure = fmt.Sprintf("%.2f of the calls %q were served", share, sound)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestPopularCallIsServedAfterALossOfAllTargets guards against a popular call, at every target when
// all were lost for other reasons, that is refused for long.
func TestPopularCallIsServedAfterALossOfAllTargets(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			f := newFleet(ctx, 3, 3, 3, 1500*time.Millisecond)
			f.load(ctx, "request/popular", 20*time.Millisecond)
			for range 2 {
				time.Sleep(4 * time.Second)
				f.mu.Lock()
				for _, s := range f.servers {
					f.crash(s)
				}
				f.mu.Unlock()
			}
			time.Sleep(f.restart + listLag + contactTime)
			from := time.Now()
			time.Sleep(10 * time.Second)
			stop()
			time.Sleep(time.Second)
			share := f.servedShare("request/popular", from)
			assert.Check(t, share > 0.98, "%.2f of the popular calls were served", share)
		})
	}
}

// TestAnsweredKeyIsServedByAllVMs guards against VMs that refuse a key for as long as nobody reports a
// further loss, while others serve it: whatever each of them has seen, and whichever leader knows of it.
func TestAnsweredKeyIsServedByAllVMs(t *testing.T) {
	const key, settled = "sound", 12 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(rapid.IntRange(2, 4).Draw(t, "entries"))
		now, targets := start, 0
		steps := map[string]func(entry int){
			"loss": func(entry int) {
				targets++
				zone := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "zone"))
				target := Target{Address: fmt.Sprint(targets), Instance: "i", AvailabilityZone: zone}
				g.entries[entry].RecordLoss([]string{key}, Loss{Target: target, SentAt: now.Add(-100 * time.Millisecond), At: now})
			},
			"answer": func(entry int) {
				if !g.entries[entry].Admit([]string{key}, now).Refused {
					g.entries[entry].RecordBegun([]string{key}, now)
				}
			},
			"exchange": func(entry int) {
				g.send(entry, now)
				g.receive(entry, now)
			},
			"new VM":     func(entry int) { g.replace(entry) },
			"new leader": func(int) { g.changeLeader() },
		}
		names := []string{"loss", "loss", "loss", "answer", "exchange", "exchange", "new VM", "new leader"}
		for range rapid.IntRange(3, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			steps[rapid.SampledFrom(names).Draw(t, "step")](rapid.IntRange(0, len(g.entries)-1).Draw(t, "entry"))
		}
		refusedAt := g.admitAll(key, now.Add(100*time.Millisecond), now.Add(2*settled))
		if refusedAt.Sub(now) > settled {
			t.Fatalf("refused until %v after the last loss", refusedAt.Sub(now))
		}
	})
}

// replace replaces an entry VM by one that has seen nothing.
func (g *group) replace(entry int) {
	g.entries[entry] = NewTable(Options{ID: fmt.Sprint(entry), Random: func() float64 { return 0 }})
	g.toEntry[entry], g.isNew[entry] = 0, true
}

// changeLeader replaces the leader by one that has seen nothing. Each entry VM sends all that it knows when
// it next exchanges changes.
func (g *group) changeLeader() {
	g.leader = newTestTable()
	for i := range g.entries {
		g.toEntry[i], g.isNew[i] = 0, true
	}
}
