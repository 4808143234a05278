package process_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

// callTimeout is the deadline of one call. It only bounds a test that hangs.
const callTimeout = 20 * time.Second

func (c *cluster) caller(router int) chicoryv1connect.CallerServiceClient {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return chicoryv1connect.NewCallerServiceClient(client, "http://"+c.address(offsetRouterCaller+router))
}

// bookOnce makes one booking at a router. The error is a *fault.Error or nil.
func (c *cluster) bookOnce(router int, key string) (*chicoryv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.caller(router).Call(ctx, connect.NewRequest(&chicoryv1.CallRequest{
		Team: "desk", Route: "booking", Method: "book", Payload: []byte(key), Key: key, TimeoutMs: 5000,
	}))
	if err == nil {
		return resp.Msg, nil
	}
	if f := fault.FromConnect(err); f != nil {
		return nil, f
	}
	return nil, fault.New(fault.OutcomeUnknown, "%v", err)
}

// booking is one key and the results that its callers received.
type booking struct {
	key     string
	payload string
	notRun  bool
}

// bookUntilAnswered sends a booking with one key to the routers in turn until it is
// answered or the error says never to retry, at most 100 times.
func (c *cluster) bookUntilAnswered(n int) booking {
	b := booking{key: ledger.NewKey(time.Now())}
	for attempt := range 100 {
		resp, err := c.bookOnce((n+attempt)%3, b.key)
		if err == nil {
			b.payload = string(resp.GetPayload())
			return b
		}
		f := fault.Of(err)
		if f.Ran == chicoryv1.Ran_RAN_NOT_RUN {
			b.notRun = true
		}
		if f.Kind.Row().Retry == fault.RetryNever {
			return b
		}
		time.Sleep(f.RetryAfter)
	}
	return b
}

// The leader and a router are killed and restarted while bookings are made. No booking
// may run twice, whatever results its callers received.
func TestBookingsRunAtMostOnceAcrossCrashes(t *testing.T) {
	c := newCluster(t)
	const callers, perCaller = 6, 15
	bookings := make([]booking, callers*perCaller)
	var tasks sync.WaitGroup
	for i := range callers {
		tasks.Go(func() {
			for k := range perCaller {
				bookings[i*perCaller+k] = c.bookUntilAnswered(i)
			}
		})
	}
	leader := c.leader()
	c.kill(leader)
	c.leader()
	c.kill("r2")
	c.startRouter(2)
	var number int
	_, _ = fmt.Sscanf(leader, "c%d", &number)
	c.startControl(number)
	tasks.Wait()
	answered := 0
	for _, b := range bookings {
		arrived := c.arrivals(b.key)
		assert.Assert(t, arrived <= 1, "%s arrived %d times", b.key, arrived)
		if b.payload != "" {
			answered++
			assert.Equal(t, b.payload, "book:"+b.key)
			assert.Equal(t, arrived, uint32(1))
		}
	}
	t.Logf("%d bookings, %d answered", len(bookings), answered)
	assert.Assert(t, answered > len(bookings)/2)
}

// The leader is frozen until another VM leads. After it continues it must not answer
// as if it were still the leader.
func TestFrozenLeaderDoesNotResumeLeadership(t *testing.T) {
	c := newCluster(t)
	old := c.leader()
	c.signal(old, syscall.SIGSTOP)
	c.eventually("another VM leads", func() bool { return c.leader() != old })
	c.confirmTeam("late", 7)
	c.signal(old, syscall.SIGCONT)
	b := c.bookUntilAnswered(0)
	assert.Equal(t, b.payload, "book:"+b.key)
	assert.Equal(t, c.arrivals(b.key), uint32(1))
	out := c.runCtl("config", "-config", c.ctlConfig())
	assert.Assert(t, containsTeam(out, "late"), out)
}
