package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// crowd is many entry VMs that place streams at the same engines and hear of each
// other a while later.
type crowd struct {
	entries []*Engines
	// unread counts, for each engine, the prompts that wait or are read now; busy is when
	// the engine will have read them all.
	unread map[string]int
	busy   map[string]time.Time
}

func newCrowd(entries, engines int) *crowd {
	c := &crowd{unread: map[string]int{}, busy: map[string]time.Time{}}
	var list []*chicoryv1.ListedTarget
	for i := range engines {
		list = append(list, &chicoryv1.ListedTarget{
			Address: fmt.Sprint("engine", i), Instance: "i", Service: "s", AvailabilityZone: fmt.Sprint("zone", i%4),
		})
	}
	for i := range entries {
		e := NewEngines(Defaults(), fmt.Sprint("zone", i%4))
		e.Update(list, func(string) int { return 55_000 })
		c.entries = append(c.entries, e)
	}
	return c
}

// share tells each entry VM what the others have at engines.
func (c *crowd) share() {
	own := make([][]*chicoryv1.EngineLoad, len(c.entries))
	for i, e := range c.entries {
		own[i], _ = e.Own(false)
	}
	for i, e := range c.entries {
		sums := map[string]*chicoryv1.EngineLoad{}
		for k, loads := range own {
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
		e.SetOthers(others)
	}
}

// stream runs one stream of an entry VM. It reports whether its prompt had to wait for
// another one.
func (c *crowd) stream(t *testing.T, e *Engines, prompt string) (waits bool) {
	const (
		readTime     = time.Second
		generateTime = 5 * time.Second
	)
	run, err := e.Place(Want{Service: "s", Size: Size{Prompt: 5200, Output: 840}, Prompt: prompt})
	assert.NilError(t, err)
	_, release := e.Backup(run, nil)
	at := run.Target.GetAddress()
	waits = c.unread[at] > 0
	c.unread[at]++
	now := time.Now()
	begin := now
	if c.busy[at].After(now) {
		begin = c.busy[at]
	}
	c.busy[at] = begin.Add(readTime)
	time.AfterFunc(begin.Add(readTime).Sub(now), func() { run.PromptRead() })
	time.AfterFunc(begin.Add(readTime+generateTime).Sub(now), func() {
		run.End()
		release()
	})
	return waits
}

// TestStreamsOfManyEntryVMsSpread. Load pattern: entry VMs place streams at engines most
// of which are idle, and hear of each other's within 0.2 s. Where all would choose the
// one best engine, prompts wait for each other though engines are free.
func TestStreamsOfManyEntryVMsSpread(t *testing.T) {
	for name, c := range map[string]struct {
		entries, engines int
		rate             float64 // streams a second
		most             int     // of a hundred, that wait
	}{
		// Some five runs are not known yet when the next one is placed: drawn from about
		// ten engines, most go to engines of their own.
		"many": {64, 120, 31, 8},
		// One run in a tenth of a second is rare; then the best engine is best.
		"few": {6, 18, 4.7, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const streams, firstPart = 1500, 200 // the load is steady after the first part
				waiting := newCrowd(c.entries, c.engines).run(t, streams, firstPart, c.rate)
				t.Logf("%d of %d prompts wait for another one", waiting, streams-firstPart)
				assert.Assert(t, waiting*100 <= (streams-firstPart)*c.most, "%d prompts wait for another one", waiting)
			})
		})
	}
}

// run places streams at a rate and counts those after the first part that wait.
func (c *crowd) run(t *testing.T, streams, firstPart int, rate float64) (waiting int) {
	const interval = 100 * time.Millisecond // of sharing
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
		for at, until := range c.busy {
			if !until.After(time.Now()) {
				c.unread[at] = 0
			}
		}
		if c.stream(t, c.entries[random.IntN(len(c.entries))], fmt.Sprint("prompt", i)) && i >= firstPart {
			waiting++
		}
	}
	time.Sleep(time.Minute) // all streams end
	return waiting
}
