package admission

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// TestMain runs the property tests with a fixed seed; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

// newAdmitter returns an admitter with a static limit for a service with the given
// number of slots.
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

// newCall returns a call of a team with a deadline after d.
func newCall(team string, d time.Duration) request.Work {
	return request.Work{
		Team:     team,
		Route:    &chicoryv1.Route{Name: "r", Service: "s"},
		Version:  "v1",
		Priority: chicoryv1.Priority_PRIORITY_NORMAL,
		Deadline: time.Now().Add(d),
	}
}

// newGeneration returns a generation of a team with a deadline after d and a token
// limit.
func newGeneration(team string, d time.Duration, tokens int) request.Work {
	w := newCall(team, d)
	w.Tokens = tokens
	return w
}

// run admits w and releases it after d. It returns the error of Admit.
func run(a *Admitter, w request.Work, d time.Duration) error {
	release, err := a.Admit(context.Background(), w)
	if err != nil {
		return err
	}
	time.Sleep(d)
	release(w.Tokens)
	return nil
}

// recordDurations runs requests that take d, so that the admitter has a duration to
// expect.
func recordDurations(t *testing.T, a *Admitter, w request.Work, d time.Duration) {
	t.Helper()
	for range 50 {
		assert.NilError(t, run(a, w, d))
	}
}

func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		recordDurations(t, a, newCall("a", time.Hour), 100*time.Millisecond)
		go func() { _ = run(a, newCall("a", time.Hour), 100*time.Millisecond) }()
		go func() { _ = run(a, newCall("a", time.Hour), 100*time.Millisecond) }()
		synctest.Wait()
		before := time.Now()
		err := run(a, newCall("a", 150*time.Millisecond), 0)
		assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
		assert.Equal(t, time.Since(before), time.Duration(0))
		assert.Assert(t, fault.Of(err).RetryAfter > 0)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
		time.Sleep(time.Second)
	})
}

func TestEarliestDeadlineFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		go func() { _ = run(a, newCall("a", time.Hour), time.Second) }()
		synctest.Wait()
		order := make(chan time.Duration, 3)
		for _, d := range []time.Duration{30 * time.Second, 10 * time.Second, 20 * time.Second} {
			go func() {
				release, err := a.Admit(context.Background(), newCall("a", d))
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
			go func() { results <- run(a, newCall("a", time.Hour), time.Second) }()
		}
		synctest.Wait()
		a.Drain()
		assert.Assert(t, fault.Is(run(a, newCall("a", time.Hour), 0), fault.Draining))
		for range 3 {
			assert.NilError(t, <-results)
		}
	})
}

func TestTeamLimitOfConcurrentGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(100, &chicoryv1.Team{Name: "a", ConcurrentGenerations: 2})
		recordDurations(t, a, newGeneration("a", time.Hour, 10), time.Second)
		for range 2 {
			go func() { _ = run(a, newGeneration("a", time.Hour, 10), time.Second) }()
		}
		synctest.Wait()
		err := run(a, newGeneration("a", time.Second+time.Millisecond, 10), 0)
		assert.Assert(t, fault.Is(err, fault.TeamLimit), "%v", err)
		before := time.Now()
		assert.NilError(t, run(a, newGeneration("a", time.Hour, 10), 0))
		assert.Equal(t, time.Since(before), time.Second)
	})
}

func TestRateLimitSetsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(100, &chicoryv1.Team{Name: "a", CallsPerSecond: 2})
		refused := 0
		var last time.Duration
		for range 10 {
			if err := run(a, newCall("a", time.Hour), 0); err != nil {
				assert.Assert(t, fault.Is(err, fault.TeamLimit))
				refused++
				assert.Assert(t, fault.Of(err).RetryAfter > last, "retry times are not spread")
				last = fault.Of(err).RetryAfter
			}
		}
		assert.Equal(t, refused, 6)
		time.Sleep(last)
		assert.NilError(t, run(a, newCall("a", time.Hour), 0))
	})
}

func TestCancellationWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		go func() { _ = run(a, newCall("a", time.Hour), time.Second) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := a.Admit(ctx, newCall("a", time.Hour))
		assert.Assert(t, fault.Is(err, fault.DeadlineNotRun), "%v", err)
		ctx, cancel = context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		_, err = a.Admit(ctx, newCall("a", time.Hour))
		assert.Assert(t, fault.Is(err, fault.Cancelled), "%v", err)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
		time.Sleep(time.Second)
	})
}

// countRunning returns the number of running requests in the pool.
func countRunning(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pools[poolKey{"s", "v1"}].running
}

func TestSlotsAreReservedForTeamsBelowFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 20
		a := newAdmitter(slots)
		assert.NilError(t, run(a, newCall("small", time.Hour), 0))
		for range 2 * slots {
			go func() { _ = run(a, newCall("large", time.Hour), time.Second) }()
		}
		synctest.Wait()
		left := int(Defaults().ReserveShare * slots)
		assert.Equal(t, countRunning(a), slots-left)
		before := time.Now()
		for range left {
			go func() { _ = run(a, newCall("small", time.Hour), time.Second) }()
		}
		synctest.Wait()
		assert.Equal(t, countRunning(a), slots)
		assert.Equal(t, time.Since(before), time.Duration(0))
		time.Sleep(time.Minute)
	})
}

func TestOverloadRetryAfterIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		recordDurations(t, a, newCall("a", time.Hour), 100*time.Millisecond)
		go func() { _ = run(a, newCall("a", time.Hour), 100*time.Millisecond) }()
		synctest.Wait()
		last := time.Duration(0)
		for range 10 {
			err := run(a, newCall("a", 150*time.Millisecond), 0)
			assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
			assert.Assert(t, fault.Of(err).RetryAfter > last, "two requests got the same retry time")
			last = fault.Of(err).RetryAfter
		}
		time.Sleep(time.Second)
	})
}
