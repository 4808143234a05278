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

// arrival is one random request.
type arrival struct {
	at, deadline, hold time.Duration
	team               int
	tokens             int
	cancelAt           time.Duration
}

// runHistory records the admitted requests of one run of a property test. Access is
// locked: goroutines in a synctest bubble may run in parallel.
type runHistory struct {
	running           int
	generationsByTeam map[string]int
	tokensByTeam      map[string][]tokenSpend
}

// tokenSpend is the start of a request and the tokens that it reserved.
type tokenSpend struct {
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

// TestLimitsAreNeverExceeded checks for random arrivals that the pool, each team's
// generations and each team's tokens stay within their limits, that every request is
// answered by its deadline, that a refusal has a documented kind and says that the
// request did not run, and that no request remains counted as running or queued.
func TestLimitsAreNeverExceeded(t *testing.T) {
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
			for name, spends := range h.tokensByTeam {
				checkSpends(rt, name, spends, float64(rate))
			}
			for _, p := range a.pools {
				if p.running != 0 || p.waiting != 0 {
					rt.Errorf("%d requests still counted as running and %d as queued", p.running, p.waiting)
				}
			}
			for _, x := range a.teams {
				if x.generations != 0 {
					rt.Errorf("%d generations of %s still counted as running", x.generations, x.name)
				}
			}
		})
	})
}

// runArrivals runs the arrivals and checks the limits when each request starts.
func runArrivals(rt *rapid.T, a *Admitter, arrivals []arrival, slots, generations int) *runHistory {
	h := &runHistory{generationsByTeam: map[string]int{}, tokensByTeam: map[string][]tokenSpend{}}
	lock := make(chan struct{}, 1)
	done := make(chan struct{})
	for _, arr := range arrivals {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(arr.at)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if arr.cancelAt > 0 {
				time.AfterFunc(arr.cancelAt, cancel)
			}
			w := newGeneration(fmt.Sprint("t", arr.team), arr.deadline, arr.tokens)
			start := time.Now()
			release, err := a.Admit(ctx, w)
			if waited := time.Since(start); waited > arr.deadline {
				rt.Errorf("answered %s after the deadline", waited-arr.deadline)
			}
			if err != nil {
				checkRefusal(rt, err)
				return
			}
			lock <- struct{}{}
			h.begin(rt, w, slots, generations)
			<-lock
			time.Sleep(arr.hold)
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

func (h *runHistory) begin(rt *rapid.T, w request.Work, slots, generations int) {
	h.running++
	if h.running > slots {
		rt.Errorf("%d requests run, limit %d", h.running, slots)
	}
	if w.Tokens == 0 {
		return
	}
	h.generationsByTeam[w.Team]++
	if h.generationsByTeam[w.Team] > generations {
		rt.Errorf("%d generations of %s run, limit %d", h.generationsByTeam[w.Team], w.Team, generations)
	}
	h.tokensByTeam[w.Team] = append(h.tokensByTeam[w.Team], tokenSpend{time.Now(), w.Tokens})
}

func (h *runHistory) end(w request.Work) {
	h.running--
	if w.Tokens > 0 {
		h.generationsByTeam[w.Team]--
	}
}

// checkSpends checks that in no time span a team gets more tokens than its rate
// allows plus its burst, or one request if that is larger. Tokens are reserved on
// arrival but counted here when the request starts, so the bound also includes the
// tokens that accrue in the longest wait.
func checkSpends(rt *rapid.T, name string, spends []tokenSpend, rate float64) {
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

// checkRefusal checks that an error has one of the kinds that request.Admitter
// documents, a retry time unless the request was cancelled, and says that the
// request did not run.
func checkRefusal(rt *rapid.T, err error) {
	f := fault.Of(err)
	switch f.Kind {
	case fault.TeamLimit, fault.Overloaded, fault.DeadlineNotRun:
		if f.RetryAfter <= 0 {
			rt.Errorf("%s has no retry time", f.Kind)
		}
	case fault.Cancelled:
	default:
		rt.Errorf("refused with %v", err)
	}
	if f.Ran != chicoryv1.Ran_RAN_NOT_RUN {
		rt.Errorf("%s says %s", f.Kind, f.Ran)
	}
}

// TestSharesFollowWeights compares the number of requests served per team, while all
// teams are backlogged, with the fluid model of fair queueing: each team gets a share
// in proportion to its weight, with a slack for the requests in service and for the
// service order.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(rt, "weights")
		floodingTeam := rapid.IntRange(0, len(weights)-1).Draw(rt, "flooding team")
		synctest.Test(t, func(*testing.T) {
			served := floodTeams(slots, weights, floodingTeam)
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

// floodTeams keeps every team backlogged, floodingTeam with ten times as many clients
// as the others, and returns the number of requests served per team in a fixed time.
func floodTeams(slots int, weights []int, floodingTeam int) []int {
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
		if i == floodingTeam {
			n = 300
		}
		for range n {
			clients++
			go func() {
				defer func() { ended <- struct{}{} }()
				for time.Now().Before(stop) {
					if run(a, newCall(fmt.Sprint("t", i), time.Hour), 10*time.Millisecond) == nil {
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

func TestFullQueueRefusesFromLongestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.opts.Settings.MaxQueue = 10
		results := make(chan string, 20)
		for i := range 15 {
			go func() {
				if err := run(a, newCall("large", time.Hour-time.Duration(i)), time.Second); err != nil {
					results <- "large refused"
				}
			}()
		}
		synctest.Wait()
		assert.NilError(t, run(a, newCall("small", time.Hour), 0))
		time.Sleep(time.Hour)
		assert.Equal(t, len(results), 15-11+1)
	})
}
