package call

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// countingLeader counts the batches of claims.
type countingLeader struct {
	*fakeLeaderClient
	batches atomic.Int64
}

func (l *countingLeader) Claim(ctx context.Context, req *chicoryv1.ClaimRequest) (*chicoryv1.ClaimResponse, error) {
	l.batches.Add(1)
	return l.fakeLeaderClient.Claim(ctx, req)
}

// BenchmarkLedgerClient measures claims through the batching client. The leader takes
// two milliseconds per batch.
func BenchmarkLedgerClient(b *testing.B) {
	for _, parallelism := range []int{1, 25} {
		b.Run(fmt.Sprint("callers=", parallelism*runtime.GOMAXPROCS(0)), func(b *testing.B) {
			leader := &countingLeader{fakeLeaderClient: &fakeLeaderClient{ledger: newReplicatedLedger()}}
			client := NewLedgerClient(leader, BatchSettings{})
			defer client.Stop()
			b.SetParallelism(parallelism)
			var count atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					c := &chicoryv1.Claim{Team: "t", Key: ledger.NewKey(time.Now()), Nonce: "n"}
					if _, err := client.Claim(context.Background(), c); err != nil {
						b.Error(err)
					}
					count.Add(1)
				}
			})
			b.ReportMetric(float64(count.Load())/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(count.Load())/float64(leader.batches.Load()), "claims/batch")
		})
	}
}

// unreplicatedLedger applies claims directly to the ledger's state.
type unreplicatedLedger struct {
	*replicatedLedger
}

func (l unreplicatedLedger) Claim(_ context.Context, c *chicoryv1.Claim) (r *chicoryv1.ClaimResult, _ error) {
	l.apply(func(state *ledger.Ledger, now time.Time) { r = state.Claim(c, now) })
	return r, nil
}

func (l unreplicatedLedger) Close(_ context.Context, c *chicoryv1.Claim) (s chicoryv1.ClaimState, _ error) {
	l.apply(func(state *ledger.Ledger, now time.Time) { s = state.Close(c, now) })
	return s, nil
}

// BenchmarkCall compares calls through the service with direct calls to the target,
// sequentially over loopback with payloads of 512 bytes.
func BenchmarkCall(b *testing.B) {
	replica, server, err := standin.Listen(standin.Options{Address: "127.0.0.1:0", Version: "v1", CallTime: time.Nanosecond})
	assert.NilError(b, err)
	defer func() { _ = server.Close() }()
	defer replica.Close()
	pool := target.NewPool(nil)
	defer pool.Close()
	h := &config.Holder{}
	conf := (&cluster{}).configuration()
	conf.Targets = []*chicoryv1.Target{{Address: replica.Address(), Service: "desk", Version: "v1"}}
	_, _ = h.ApplyFull(conf)
	s := New(Options{
		Holder: h, Pool: pool, Picker: &roundRobinWithoutResults{roundRobinPicker{targets: conf.GetTargets()}}, Admitter: &fakeAdmitter{}, Chooser: routeVersionChooser{},
		Budget: &fakeBudget{}, Recorder: discardRecorder{}, Ledger: unreplicatedLedger{newReplicatedLedger()}, Logger: logging.Discard(),
	})
	payload := string(make([]byte, 512))
	run := func(name string, f func() error) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := f(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	run("direct", func() error {
		_, err := pool.Clients(replica.Address()).Transaction.Invoke(context.Background(),
			connect.NewRequest(&chicoryv1.InvokeRequest{CallId: "c", Payload: []byte(payload)}))
		return err
	})
	run("idempotent", func() error {
		_, err := s.Call(context.Background(), idempotentRequest(payload))
		return err
	})
	run("claimed", func() error {
		_, err := s.Call(context.Background(), keyedRequest(ledger.NewKey(time.Now()), payload))
		return err
	})
}

// roundRobinWithoutResults is a roundRobinPicker that discards results, so that its
// memory does not grow with the number of calls.
type roundRobinWithoutResults struct {
	roundRobinPicker
}

func (f *roundRobinWithoutResults) Pick(w request.Work, exclude []string) (request.Placement, error) {
	p, err := f.roundRobinPicker.Pick(w, exclude)
	p.Done = func(request.Result, time.Duration) {}
	return p, err
}

// discardRecorder discards all observations.
type discardRecorder struct{}

func (discardRecorder) Record(request.Observation) {}
