package admission

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// newAdmitter returns an admitter for a service with slots and the teams.
func newAdmitter(slots int, teams ...*chicoryv1.Team) *Admitter {
	h := &config.Holder{}
	_, err := h.ApplyFull(&chicoryv1.Configuration{Revision: 1, Teams: teams})
	if err != nil {
		panic(err)
	}
	s := Defaults()
	s.Limit = LimitStatic
	return New(Options{
		Holder:   h,
		Routers:  func() int { return 1 },
		Capacity: func(string, string) (int, int) { return slots, 0 },
		Rand:     func() float64 { return 0 },
		Settings: s,
	})
}

// callOf returns a call of a team with a deadline after d.
func callOf(team string, d time.Duration) request.Work {
	return request.Work{
		Team:     team,
		Route:    &chicoryv1.Route{Name: "r", Service: "s"},
		Version:  "v1",
		Priority: chicoryv1.Priority_PRIORITY_NORMAL,
		Deadline: time.Now().Add(d),
	}
}

// generationOf is callOf for a generation that may use tokens.
func generationOf(team string, d time.Duration, tokens int) request.Work {
	w := callOf(team, d)
	w.Tokens = tokens
	return w
}

// run admits w and holds it for d. It returns the refusal.
func run(a *Admitter, w request.Work, d time.Duration) error {
	release, err := a.Admit(context.Background(), w)
	if err != nil {
		return err
	}
	time.Sleep(d)
	release(w.Tokens)
	return nil
}

// warm teaches the admitter how long a request runs.
func warm(t *testing.T, a *Admitter, w request.Work, d time.Duration) {
	t.Helper()
	for range 50 {
		assert.NilError(t, run(a, w, d))
	}
}

func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		warm(t, a, callOf("a", time.Hour), 100*time.Millisecond)
		go func() { _ = run(a, callOf("a", time.Hour), 100*time.Millisecond) }()
		go func() { _ = run(a, callOf("a", time.Hour), 100*time.Millisecond) }()
		synctest.Wait()
		before := time.Now()
		err := run(a, callOf("a", 150*time.Millisecond), 0)
		assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
		assert.Equal(t, time.Since(before), time.Duration(0))
		assert.Assert(t, fault.Of(err).RetryAfter > 0)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
		time.Sleep(time.Second)
	})
}

func TestEarliestDeadlineGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		go func() { _ = run(a, callOf("a", time.Hour), time.Second) }()
		synctest.Wait()
		order := make(chan time.Duration, 3)
		for _, d := range []time.Duration{30 * time.Second, 10 * time.Second, 20 * time.Second} {
			go func() {
				release, err := a.Admit(context.Background(), callOf("a", d))
				assert.Check(t, err)
				order <- d
				time.Sleep(time.Second)
				release(0)
			}()
		}
		time.Sleep(10 * time.Second)
		for _, d := range []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second} {
			assert.Equal(t, <-order, d)
		}
	})
}

func TestDrainServesWhoWaitsAndRefusesNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		results := make(chan error, 3)
		for range 3 {
			go func() { results <- run(a, callOf("a", time.Hour), time.Second) }()
		}
		synctest.Wait()
		a.Drain()
		assert.Assert(t, fault.Is(run(a, callOf("a", time.Hour), 0), fault.Draining))
		for range 3 {
			assert.NilError(t, <-results)
		}
	})
}

func TestConcurrentGenerationsOfATeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(100, &chicoryv1.Team{Name: "a", ConcurrentGenerations: 2})
		warm(t, a, generationOf("a", time.Hour, 10), time.Second)
		for range 2 {
			go func() { _ = run(a, generationOf("a", time.Hour, 10), time.Second) }()
		}
		synctest.Wait()
		err := run(a, generationOf("a", time.Second+time.Millisecond, 10), 0)
		assert.Assert(t, fault.Is(err, fault.TeamLimit), "%v", err)
		before := time.Now()
		assert.NilError(t, run(a, generationOf("a", time.Hour, 10), 0))
		assert.Equal(t, time.Since(before), time.Second)
	})
}

func TestRateLimitSaysWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(100, &chicoryv1.Team{Name: "a", CallsPerSecond: 2})
		refused := 0
		var last time.Duration
		for range 10 {
			if err := run(a, callOf("a", time.Hour), 0); err != nil {
				assert.Assert(t, fault.Is(err, fault.TeamLimit))
				refused++
				assert.Assert(t, fault.Of(err).RetryAfter > last, "returns are not spread")
				last = fault.Of(err).RetryAfter
			}
		}
		assert.Equal(t, refused, 6)
		time.Sleep(last)
		assert.NilError(t, run(a, callOf("a", time.Hour), 0))
	})
}

func TestCancelledWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		go func() { _ = run(a, callOf("a", time.Hour), time.Second) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := a.Admit(ctx, callOf("a", time.Hour))
		assert.Assert(t, fault.Is(err, fault.DeadlineNotRun), "%v", err)
		ctx, cancel = context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		_, err = a.Admit(ctx, callOf("a", time.Hour))
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
		time.Sleep(time.Second)
	})
}

// runningIn returns the number of admitted requests of the test's pool.
func runningIn(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pools[poolKey{"s", "v1"}].running
}

func TestSlotsAreLeftForTeamsBelowTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 20
		a := newAdmitter(slots)
		assert.NilError(t, run(a, callOf("small", time.Hour), 0))
		for range 2 * slots {
			go func() { _ = run(a, callOf("large", time.Hour), time.Second) }()
		}
		synctest.Wait()
		left := int(Defaults().ReserveShare * slots)
		assert.Equal(t, runningIn(a), slots-left)
		before := time.Now()
		for range left {
			go func() { _ = run(a, callOf("small", time.Hour), time.Second) }()
		}
		synctest.Wait()
		assert.Equal(t, runningIn(a), slots)
		assert.Equal(t, time.Since(before), time.Duration(0))
		time.Sleep(time.Minute)
	})
}

func TestOverloadAdviceIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		warm(t, a, callOf("a", time.Hour), 100*time.Millisecond)
		go func() { _ = run(a, callOf("a", time.Hour), 100*time.Millisecond) }()
		synctest.Wait()
		last := time.Duration(0)
		for range 10 {
			err := run(a, callOf("a", 150*time.Millisecond), 0)
			assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
			assert.Assert(t, fault.Of(err).RetryAfter > last, "two are told the same time")
			last = fault.Of(err).RetryAfter
		}
		time.Sleep(time.Second)
	})
}
