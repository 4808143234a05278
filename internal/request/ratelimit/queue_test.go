package ratelimit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// limitedTable returns a table in contact with a leader, with one target of the service that
// names a limit.
func limitedTable(rate float64) *Table {
	t := newTestTable()
	t.UpdateTargets([]*chicoryv1.ListedTarget{{Address: desk.address, Instance: desk.instance, Service: service}})
	t.Observe(desk.address, desk.instance, rate, time.Now())
	grant(t, 0)
	return t
}

// grant applies a report of the leader with permits.
func grant(t *Table, permits uint32) {
	t.LocalState(false, time.Now())
	t.SetRemoteState([]*chicoryv1.TargetLimit{{Address: desk.address, Instance: desk.instance, Rate: 2.7, Permits: permits, Contenders: 1}}, 3, time.Now())
}

// awaitInOrder starts waiting for each claim, and returns the numbers of the claims in the order
// in which they get permits.
func awaitInOrder(t *testing.T, tb *Table, claims ...Claim) []int {
	t.Helper()
	served := make(chan int, len(claims))
	ctx, cancel := context.WithCancel(t.Context())
	for i := range claims {
		c := claims[i]
		c.Service, c.Deadline = service, time.Now().Add(time.Hour)
		go func() {
			for {
				address, err := tb.Await(ctx, &c)
				if err != nil {
					return
				}
				if address != "" {
					served <- i
					return
				}
			}
		}()
		synctest.Wait()
		time.Sleep(time.Millisecond)
	}
	var order []int
	for range claims {
		grant(tb, 1)
		order = append(order, <-served)
	}
	cancel()
	synctest.Wait()
	return order
}

// A resumption and a payment matter more than a lookup, and no lookup waits for ever.
func TestImportantRequestsGetPermitsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other, once, resume := Claim{Class: ClassOther}, Claim{Class: ClassAtMostOnce}, Claim{Class: ClassResume}
		order := awaitInOrder(t, limitedTable(2.7), other, other, once, once, once, once, once, resume)
		assert.Equal(t, order[0], 7, "%v", order)
		lookups := 0
		for _, i := range order[1:5] {
			if i < 2 {
				lookups++
			}
		}
		assert.Equal(t, lookups, 1, "%v", order)
	})
}

// A team with many requests must not take the permits of the others.
func TestTeamsGetPermitsInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy, small := Claim{Team: "busy", Class: ClassOther}, Claim{Team: "small", Class: ClassOther}
		order := awaitInOrder(t, limitedTable(2.7), busy, busy, busy, busy, busy, busy, small, small)
		assert.Assert(t, order[1] >= 6 && order[3] >= 6, "%v", order)
	})
}

// A request that can't be served in time must not wait until its deadline.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := limitedTable(2.7)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 3 {
			go func() {
				_, _ = tb.Await(ctx, &Claim{Service: service, Class: ClassOther, Deadline: time.Now().Add(time.Hour)})
			}()
			synctest.Wait()
		}
		begin := time.Now()
		_, err := tb.Await(ctx, &Claim{Service: service, Class: ClassOther, Deadline: begin.Add(time.Second)})
		e := fault.Of(err)
		assert.Equal(t, e.Kind, fault.Overloaded)
		assert.Equal(t, time.Since(begin), time.Duration(0))
		assert.Assert(t, e.RetryAfter > 500*time.Millisecond && e.RetryAfter < 5*time.Second, "%v", e.RetryAfter)
	})
}

// The permit of a caller that leaves goes to the next request.
func TestPermitOfACallerThatLeavesIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := limitedTable(2.7)
		w, err := tb.join(&Claim{Service: service, Class: ClassOther, Deadline: time.Now().Add(time.Hour)})
		assert.NilError(t, err)
		grant(tb, 1)
		assert.Equal(t, tb.leave(w), desk.address)
		tb.Return(desk.address)
		assert.Assert(t, tb.Take(desk.address))
		assert.Assert(t, !tb.Take(desk.address))
	})
}

// A permit that isn't used soon would be used in addition to later ones.
func TestUnusedPermitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := limitedTable(2.7)
		grant(tb, 2)
		assert.Assert(t, tb.Take(desk.address))
		time.Sleep(minPermitLifetime)
		assert.Assert(t, !tb.Take(desk.address))
	})
}

// TestOpeningBeforeTheWaitIsSeen guards against a request that waits although it may be sent: the
// permit, or the change after which targets have no limit, came after the request found no target
// and before it joined the queue.
func TestOpeningBeforeTheWaitIsSeen(t *testing.T) {
	for name, open := range map[string]func(*Table){
		"permit":      func(tb *Table) { grant(tb, 1) },
		"limit ended": func(tb *Table) { tb.Observe(desk.address, desk.instance, 0, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := limitedTable(2.7)
				c := &Claim{Service: service, Class: ClassOther, Deadline: time.Now().Add(time.Minute)}
				_, err := tb.Await(t.Context(), c)
				assert.NilError(t, err)
				assert.Assert(t, !tb.Take(desk.address))
				time.Sleep(time.Millisecond)
				open(tb)
				begin := time.Now()
				_, err = tb.Await(t.Context(), c)
				assert.NilError(t, err)
				assert.Equal(t, time.Since(begin), time.Duration(0))
				assert.Assert(t, tb.Take(desk.address))
			})
		})
	}
}

// TestPermitThatIsGivenBackGoesToAnotherRequest guards against requests that can't use the permits of
// one target, for example because it has failed them, and that pass one on to each other without
// end: no other request gets it, and they use up the processor.
func TestPermitThatIsGivenBackGoesToAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxOffers = 100
		tb := limitedTable(2.7)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var offers atomic.Int64
		for range 2 {
			go func() {
				c := Claim{Service: service, Class: ClassResume, Deadline: time.Now().Add(time.Hour)}
				for offers.Load() < maxOffers {
					address, err := tb.Await(ctx, &c)
					if err != nil {
						return
					}
					if address != "" {
						offers.Add(1)
						tb.Return(address)
					}
				}
			}()
		}
		served := make(chan struct{})
		go func() {
			c := Claim{Service: service, Class: ClassOther, Deadline: time.Now().Add(time.Hour)}
			for {
				if address, err := tb.Await(ctx, &c); err != nil || address != "" {
					close(served)
					return
				}
			}
		}()
		time.Sleep(time.Second)
		grant(tb, 1)
		synctest.Wait()
		select {
		case <-served:
		default:
			t.Errorf("no other request got the permit after %d offers", offers.Load())
		}
		assert.Assert(t, offers.Load() <= 2, "%d offers", offers.Load())
	})
}
