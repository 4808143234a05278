package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// arrival is one drawn request.
type arrival struct {
	at, deadline, hold time.Duration
	team               int
	tokens             int
	cancelAt           time.Duration
}

// history is what the property tests record of one run. In a bubble only one
// goroutine runs between two waits, but the race detector wants the lock.
type history struct {
	running int
	ofTeam  map[string]int
	tokens  map[string][]spend
}

type spend struct {
	at     time.Time
	tokens int
}

func drawArrivals(t *rapid.T) []arrival {
	n := rapid.IntRange(1, 60).Draw(t, "arrivals")
	list := make([]arrival, n)
	for i := range list {
		ms := func(from, to int, name string) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
		}
		list[i] = arrival{
			at:       ms(0, 2000, "at"),
			deadline: ms(1, 3000, "deadline"),
			hold:     ms(1, 500, "hold"),
			team:     rapid.IntRange(0, 2).Draw(t, "team"),
			tokens:   rapid.SampledFrom([]int{0, 0, 1, 50, 400}).Draw(t, "tokens"),
		}
		if rapid.IntRange(0, 9).Draw(t, "cancels") == 0 {
			list[i].cancelAt = ms(1, 1000, "cancel")
		}
	}
	return list
}

// TestNothingAboveLimits: over drawn arrivals, the pool, each team's generations
// and each team's tokens stay within their limits; every request is answered by
// its deadline; a refusal is of a known kind, says "not run", and nothing stays
// behind.
func TestNothingAboveLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(rt, "slots")
		generations := rapid.IntRange(1, 3).Draw(rt, "generations")
		rate := rapid.IntRange(50, 500).Draw(rt, "tokens per second")
		arrivals := drawArrivals(rt)
		synctest.Test(t, func(*testing.T) {
			var teams []*chicoryv1.Team
			for i := range 3 {
				teams = append(teams, &chicoryv1.Team{
					Name: fmt.Sprint("t", i), TokensPerSecond: uint32(rate), ConcurrentGenerations: uint32(generations),
				})
			}
			a := newAdmitter(slots, teams...)
			h := runArrivals(rt, a, arrivals, slots, generations)
			for name, spends := range h.tokens {
				checkSpends(rt, name, spends, float64(rate))
			}
			for _, p := range a.pools {
				if p.running != 0 || p.waiting != 0 {
					rt.Errorf("%d running and %d waiting stay behind", p.running, p.waiting)
				}
			}
			for _, x := range a.teams {
				if x.generations != 0 {
					rt.Errorf("%d generations of %s stay behind", x.generations, x.name)
				}
			}
		})
	})
}

// runArrivals plays the arrivals and checks what holds at each step.
func runArrivals(rt *rapid.T, a *Admitter, arrivals []arrival, slots, generations int) *history {
	h := &history{ofTeam: map[string]int{}, tokens: map[string][]spend{}}
	lock := make(chan struct{}, 1)
	done := make(chan struct{})
	for _, x := range arrivals {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(x.at)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if x.cancelAt > 0 {
				time.AfterFunc(x.cancelAt, cancel)
			}
			w := generationOf(fmt.Sprint("t", x.team), x.deadline, x.tokens)
			start := time.Now()
			release, err := a.Admit(ctx, w)
			if waited := time.Since(start); waited > x.deadline {
				rt.Errorf("answered %s after the deadline", waited-x.deadline)
			}
			if err != nil {
				checkRefusal(rt, err)
				return
			}
			lock <- struct{}{}
			h.begin(rt, w, slots, generations)
			<-lock
			time.Sleep(x.hold)
			lock <- struct{}{}
			h.end(w)
			<-lock
			release(w.Tokens)
		}()
	}
	for range arrivals {
		<-done
	}
	return h
}

func (h *history) begin(rt *rapid.T, w request.Work, slots, generations int) {
	h.running++
	if h.running > slots {
		rt.Errorf("%d requests run, limit %d", h.running, slots)
	}
	if w.Tokens == 0 {
		return
	}
	h.ofTeam[w.Team]++
	if h.ofTeam[w.Team] > generations {
		rt.Errorf("%d generations of %s run, limit %d", h.ofTeam[w.Team], w.Team, generations)
	}
	h.tokens[w.Team] = append(h.tokens[w.Team], spend{time.Now(), w.Tokens})
}

func (h *history) end(w request.Work) {
	h.running--
	if w.Tokens > 0 {
		h.ofTeam[w.Team]--
	}
}

// checkSpends: in no span of time a team gets more than its rate, what it may
// save up, and one request more. The tokens of a request count when it begins to
// run, so those that waited for the whole span may be in it as well.
func checkSpends(rt *rapid.T, name string, spends []spend, rate float64) {
	const largest, longestWait = 400, 3.0
	burst := rate * Defaults().BurstTime.Std().Seconds()
	for i := range spends {
		sum := 0.0
		for _, s := range spends[i:] {
			sum += float64(s.tokens)
			bound := rate*(s.at.Sub(spends[i].at).Seconds()+longestWait) + max(burst, largest)
			if sum > bound {
				rt.Errorf("team %s got %.0f tokens, bound %.0f", name, sum, bound)
			}
		}
	}
}

// checkRefusal: a refusal is of the kinds that the interface names, and says
// that nothing ran and when to come back.
func checkRefusal(rt *rapid.T, err error) {
	f := fault.Of(err)
	switch f.Kind {
	case fault.TeamLimit, fault.Overloaded, fault.DeadlineNotRun:
		if f.RetryAfter <= 0 {
			rt.Errorf("%s does not say when to come back", f.Kind)
		}
	case fault.Cancelled:
	default:
		rt.Errorf("refused with %v", err)
	}
	if f.Ran != chicoryv1.Ran_RAN_NOT_RUN {
		rt.Errorf("%s says %s", f.Kind, f.Ran)
	}
}

// TestSharesFollowWeights compares what teams get while all of them always have
// work waiting with the naive fluid model: each gets its weight's part, give or
// take one request in service and one in the order.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(rt, "weights")
		flood := rapid.IntRange(0, len(weights)-1).Draw(rt, "flooding team")
		synctest.Test(t, func(*testing.T) {
			served := floodTeams(slots, weights, flood)
			total, sum := 0, 0
			for i, n := range served {
				total += n
				sum += weights[i]
			}
			for i, n := range served {
				fluid := float64(total) * float64(weights[i]) / float64(sum)
				slack := float64(slots + weights[i] + 1)
				if float64(n) < fluid-slack || float64(n) > fluid+slack {
					rt.Errorf("team %d with weight %d got %d of %d, fluid share %.1f", i, weights[i], n, total, fluid)
				}
			}
		})
	})
}

// floodTeams lets every team keep requests waiting, one of them ten times as
// many, and returns how many of each were served in a fixed time.
func floodTeams(slots int, weights []int, flood int) []int {
	var teams []*chicoryv1.Team
	for i, w := range weights {
		teams = append(teams, &chicoryv1.Team{Name: fmt.Sprint("t", i), Weight: uint32(w)})
	}
	a := newAdmitter(slots, teams...)
	served := make([]int, len(weights))
	lock := make(chan struct{}, 1)
	ended := make(chan struct{})
	stop := time.Now().Add(2 * time.Second)
	clients := 0
	for i := range weights {
		n := 30
		if i == flood {
			n = 300
		}
		for range n {
			clients++
			go func() {
				defer func() { ended <- struct{}{} }()
				for time.Now().Before(stop) {
					if run(a, callOf(fmt.Sprint("t", i), time.Hour), 10*time.Millisecond) == nil {
						lock <- struct{}{}
						served[i]++
						<-lock
					}
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	lock <- struct{}{}
	result := append([]int(nil), served...)
	<-lock
	for range clients {
		<-ended
	}
	return result
}

func TestFullQueueRefusesTheLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.opts.Settings.MaxQueue = 10
		results := make(chan string, 20)
		for i := range 15 {
			go func() {
				if err := run(a, callOf("large", time.Hour-time.Duration(i)), time.Second); err != nil {
					results <- "large refused"
				}
			}()
		}
		synctest.Wait()
		assert.NilError(t, run(a, callOf("small", time.Hour), 0))
		time.Sleep(time.Hour)
		assert.Equal(t, len(results), 15-11+1)
	})
}
