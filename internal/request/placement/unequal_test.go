package placement

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// unequalEngine simulates an engine that processes one prompt after the other, 5 tokens in a
// millisecond, and generates the events of all its runs. All of it takes longer by a lasting
// factor, and by 2.5 while a neighbour slows it.
type unequalEngine struct {
	slowness float64
	prompt   chan struct{} // holds a value while a prompt is processed

	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	runs    int
	slowed  bool
	changes time.Time // the end of the current state
}

// now returns the factor at this moment and records a run more or less. A tenth of the time the
// engine is slowed, for 0.1 to 0.5 s.
func (u *unequalEngine) now(runs int) (factor float64, running int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs += runs
	for now := time.Now(); !u.changes.After(now); {
		if u.slowed = !u.slowed && u.random.Float64() < 0.5; u.slowed {
			u.changes = now.Add(time.Duration((0.1 + 0.4*u.random.Float64()) * float64(time.Second)))
		} else {
			u.changes = now.Add(time.Duration((0.6 + 1.6*u.random.Float64()) * float64(time.Second)))
		}
	}
	if u.slowed {
		return 2.5 * u.slowness, u.runs
	}
	return u.slowness, u.runs
}

// unequalLoad is a load pattern of B: unequal engines that are nearly busy.
type unequalLoad struct {
	engines   int
	perSecond float64
	lasts     time.Duration
	// states: engines state their pace.
	states bool
}

// unequalResult is what the callers of an unequalLoad saw.
type unequalResult struct {
	streams, late int
	firstEvents   time.Duration // the sum
	ends          time.Duration // the sum
}

func (l unequalLoad) play(seed uint64) (result unequalResult) {
	random := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex // guards result
	list := listedTargets(l.engines, "a")
	engines := map[string]*unequalEngine{}
	for i, t := range list {
		engines[t.GetAddress()] = &unequalEngine{slowness: 0.6 + random.Float64(), random: rand.New(rand.NewPCG(seed, uint64(i))), prompt: make(chan struct{}, 1)}
	}
	e, speeds := newEngines("a", list), speed.NewTable()
	e.SetSpeeds(speeds)
	speeds.Update(list)
	var streams sync.WaitGroup
	stream := func(prompt string) {
		begin := time.Now()
		r, err := e.Place(PlaceRequest{Service: service, Size: typicalSize, Prompt: prompt, MaxEventGap: 700 * time.Millisecond})
		if err != nil {
			panic(err)
		}
		defer r.Release()
		u := engines[r.Target.GetAddress()]
		u.now(1)
		defer u.now(-1)
		u.prompt <- struct{}{}
		factor, running := u.now(0)
		time.Sleep(time.Duration(factor * float64(typicalSize.Prompt) / 5 * float64(time.Millisecond)))
		<-u.prompt
		r.SetReportedRuns(running, 0, 0)
		firstEvent := time.Since(begin)
		l.observe(speeds, r.Target, factor/u.slowness)
		if r.IsOnlyPrompt() {
			speeds.ObserveFirstEvent(r.Target.GetAddress(), r.Target.GetInstance(), typicalSize.Prompt, firstEvent, time.Now())
		}
		r.MarkPromptRead()
		var sampler speed.EventSampler
		for range 149 {
			factor, running = u.now(0)
			gap := time.Duration(factor * float64(27+2*running) * float64(time.Millisecond))
			time.Sleep(gap)
			if mean, ok := sampler.Add(gap); ok {
				speeds.ObserveEvents(r.Target.GetAddress(), r.Target.GetInstance(), mean, r.Running(), time.Now())
			}
		}
		mu.Lock()
		defer mu.Unlock()
		result.streams++
		result.firstEvents += firstEvent
		result.ends += time.Since(begin)
		if firstEvent > 4500*time.Millisecond {
			result.late++
		}
	}
	for begin, n := time.Now(), 0; time.Since(begin) < l.lasts; n++ {
		streams.Go(func() { stream(fmt.Sprint("p", n)) })
		time.Sleep(time.Duration(2 * random.Float64() / l.perSecond * float64(time.Second)))
	}
	streams.Wait()
	return result
}

func (l unequalLoad) observe(speeds *speed.Table, t *chicoryv1.ListedTarget, momentary float64) {
	if l.states {
		speeds.ObserveStated(t.GetAddress(), t.GetInstance(), int(100*momentary), time.Now())
	}
}

// TestStreamsOnUnequalEngines guards against estimates that harm the callers of engines that are
// permanently 0.6 to 1.6 times as fast as others and slowed further for fractions of a second.
func TestStreamsOnUnequalEngines(t *testing.T) {
	for _, load := range []unequalLoad{
		{engines: 16, perSecond: 4, lasts: 4 * time.Minute},
		{engines: 16, perSecond: 9, lasts: 4 * time.Minute},
	} {
		var without, with unequalResult
		for _, states := range []bool{false, true} {
			load.states = states
			synctest.Test(t, func(*testing.T) {
				if states {
					with = load.play(1)
				} else {
					without = load.play(1)
				}
			})
		}
		t.Logf("%v a second: without estimates %+v, with %+v", load.perSecond, without, with)
		assert.Assert(t, with.ends.Seconds()/float64(with.streams) < without.ends.Seconds()/float64(without.streams))
		// The mean time to the first event varies by 1 % between runs.
		assert.Assert(t, with.firstEvents.Seconds()/float64(with.streams) < 1.02*without.firstEvents.Seconds()/float64(without.streams))
		assert.Assert(t, with.late <= without.late+with.streams/100, "late first events are rare, and a few more or less are chance")
	}
}
