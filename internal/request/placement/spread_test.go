package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// cluster is a set of entry VMs that place streams on the same engines and learn of each
// other's load with a delay.
type cluster struct {
	entries []*EngineTable
	// unread counts, per engine, the prompts that wait or are being processed; busy is
	// when the engine will have processed them all.
	unread map[string]int
	busy   map[string]time.Time
}

func newCluster(entries, engines int) *cluster {
	c := &cluster{unread: map[string]int{}, busy: map[string]time.Time{}}
	var list []*chicoryv1.ListedTarget
	for i := range engines {
		list = append(list, &chicoryv1.ListedTarget{
			Address: fmt.Sprint("engine", i), Instance: "i", Service: "s", AvailabilityZone: fmt.Sprint("zone", i%4),
		})
	}
	for i := range entries {
		e := NewEngineTable(Defaults(), fmt.Sprint("zone", i%4), request.Unlimited{})
		e.Update(list, func(string) int { return 55_000 })
		c.entries = append(c.entries, e)
	}
	return c
}

// share sends each entry VM the loads of the others.
func (c *cluster) share() {
	local := make([][]*chicoryv1.EngineLoad, len(c.entries))
	for i, e := range c.entries {
		local[i], _ = e.LocalState(false)
	}
	for i, e := range c.entries {
		sums := map[string]*chicoryv1.EngineLoad{}
		for k, loads := range local {
			for _, l := range loads {
				if k == i {
					continue
				}
				sum := sums[l.GetAddress()]
				if sum == nil {
					sum = &chicoryv1.EngineLoad{Address: l.GetAddress()}
					sums[l.GetAddress()] = sum
				}
				sum.Tokens += l.GetTokens()
				sum.Unread += l.GetUnread()
				sum.Backups += l.GetBackups()
			}
		}
		var others []*chicoryv1.EngineLoad
		for _, l := range sums {
			others = append(others, l)
		}
		e.SetRemoteLoads(others)
	}
}

// stream places one stream through an entry VM. It reports whether the prompt has to wait
// for another one.
func (c *cluster) stream(t *testing.T, e *EngineTable, prompt string) (waits bool) {
	const (
		readTime     = time.Second
		generateTime = 5 * time.Second
	)
	run, err := e.Place(PlaceRequest{Service: "s", Size: Size{Prompt: 5200, Output: 840}, Prompt: prompt})
	assert.NilError(t, err)
	_, release := e.ReserveBackup(run, nil)
	address := run.Target.GetAddress()
	waits = c.unread[address] > 0
	c.unread[address]++
	now := time.Now()
	begin := now
	if c.busy[address].After(now) {
		begin = c.busy[address]
	}
	c.busy[address] = begin.Add(readTime)
	time.AfterFunc(begin.Add(readTime).Sub(now), func() { run.MarkPromptRead() })
	time.AfterFunc(begin.Add(readTime+generateTime).Sub(now), func() {
		run.Release()
		release()
	})
	return waits
}

// TestStreamsOfManyEntryVMsSpread guards against prompts that wait for each other while
// other engines are idle. Entry VMs place streams on mostly idle engines and learn of
// each other's within 0.2 s; if all selected the single best engine, their prompts would
// queue there.
func TestStreamsOfManyEntryVMsSpread(t *testing.T) {
	for name, c := range map[string]struct {
		entries, engines int
		rate             float64 // streams per second
		maxWaiting       int     // maximum percentage of prompts that wait
	}{
		// About five runs are not known yet when the next one is placed: with about ten
		// engines to sample from, most runs get an engine of their own.
		"many": {64, 120, 31, 8},
		// Another run within a tenth of a second is rare, so the best engine is the right
		// choice.
		"few": {6, 18, 4.7, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const streams, warmUp = 1500, 200 // the load is steady after the warm-up
				waiting := newCluster(c.entries, c.engines).run(t, streams, warmUp, c.rate)
				t.Logf("%d of %d prompts wait for another one", waiting, streams-warmUp)
				assert.Assert(t, waiting*100 <= (streams-warmUp)*c.maxWaiting, "%d prompts wait for another one", waiting)
			})
		})
	}
}

// run places streams at a rate and returns how many prompts wait, not counting the warm-up.
func (c *cluster) run(t *testing.T, streams, warmUp int, rate float64) (waiting int) {
	const interval = 100 * time.Millisecond // of sharing loads
	random := rand.New(rand.NewPCG(1, 1))
	next := time.Now()
	for i := range streams {
		pause := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		for time.Now().Add(pause).After(next) {
			pause -= time.Until(next)
			time.Sleep(time.Until(next))
			synctest.Wait()
			next = next.Add(interval)
			c.share()
		}
		time.Sleep(pause)
		synctest.Wait()
		for address, until := range c.busy {
			if !until.After(time.Now()) {
				c.unread[address] = 0
			}
		}
		if c.stream(t, c.entries[random.IntN(len(c.entries))], fmt.Sprint("prompt", i)) && i >= warmUp {
			waiting++
		}
	}
	time.Sleep(time.Minute) // until all streams have ended
	return waiting
}
