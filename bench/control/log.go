package main

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/consensus"
)

const (
	commandBytes    = 512
	manyClients     = 256
	failovers       = 8
	failoverTarget  = 2 * time.Second
	noSnapshots     = 1 << 30
	fillClients     = 512
	catchUpInterval = 100 * time.Microsecond
)

// measureCommitRate commits with one client and with many, and writes and syncs
// a bare file as the baseline.
func measureCommitRate(r *run) error {
	window := r.length / 12
	floor, err := bareSyncs(filepath.Join(r.folder, "bare"), window/2)
	if err != nil {
		return errors.Trace(err)
	}
	r.figure("bare_sync rate=%.0f/s p50=%v p99=%v", floor.rate, floor.p50, floor.p99)
	c, err := startCluster(r, clusterOptions{name: "rate"})
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	leader, err := c.awaitLeader()
	if err != nil {
		return errors.Trace(err)
	}
	for _, clients := range []int{1, 16, manyClients} {
		s, err := commits(c.replicas[leader].node, clients, window)
		if err != nil {
			return errors.Trace(err)
		}
		r.figure("commit clients=%d rate=%.0f/s p50=%v p99=%v of_bare_sync=%.2f",
			clients, s.rate, s.p50, s.p99, s.rate/floor.rate)
	}
	return nil
}

// sample summarises latencies.
type sample struct {
	rate     float64 // per second
	p50, p99 time.Duration
}

func summarise(latencies []time.Duration, window time.Duration) sample {
	slices.Sort(latencies)
	at := func(share float64) time.Duration {
		return latencies[int(share*float64(len(latencies)-1))].Round(time.Microsecond)
	}
	return sample{rate: float64(len(latencies)) / window.Seconds(), p50: at(0.5), p99: at(0.99)}
}

// bareSyncs writes and syncs one command after the other.
func bareSyncs(path string, window time.Duration) (sample, error) {
	f, err := os.Create(path)
	if err != nil {
		return sample{}, errors.Trace(err)
	}
	defer f.Close()
	command := make([]byte, commandBytes)
	var latencies []time.Duration
	for began := time.Now(); time.Since(began) < window; {
		start := time.Now()
		if _, err := f.Write(command); err != nil {
			return sample{}, errors.Trace(err)
		}
		if err := f.Sync(); err != nil {
			return sample{}, errors.Trace(err)
		}
		latencies = append(latencies, time.Since(start))
	}
	return summarise(latencies, window), nil
}

// commits proposes with several clients at a time.
func commits(n *consensus.Node, clients int, window time.Duration) (sample, error) {
	ctx, cancel := context.WithTimeout(context.Background(), window+startTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []time.Duration
	var failed error
	var group sync.WaitGroup
	began := time.Now()
	for range clients {
		group.Go(func() {
			var own []time.Duration
			var err error
			for err == nil && time.Since(began) < window {
				start := time.Now()
				_, err = n.Propose(ctx, make([]byte, commandBytes))
				own = append(own, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	return summarise(all, time.Since(began)), errors.Trace(failed)
}

// measureFailover stops the leader several times and measures until another
// leader has committed a command.
func measureFailover(r *run) error {
	c, err := startCluster(r, clusterOptions{name: "failover"})
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	var times []time.Duration
	for range failovers {
		old, err := c.awaitLeader()
		if err != nil {
			return errors.Trace(err)
		}
		began := time.Now()
		c.stopOne(old)
		next, err := c.awaitLeader()
		if err != nil {
			return errors.Trace(err)
		}
		if _, err := c.replicas[next].node.Propose(context.Background(), []byte("x")); err != nil {
			return errors.Trace(err)
		}
		times = append(times, time.Since(began).Round(time.Millisecond))
		if err := c.start(old); err != nil {
			return errors.Trace(err)
		}
		if err := c.awaitCaughtUp(old, next); err != nil {
			return errors.Trace(err)
		}
	}
	slices.Sort(times)
	worst := times[len(times)-1]
	r.figure("failover count=%d p50=%v max=%v", len(times), times[len(times)/2], worst)
	r.bars = append(r.bars, bar{
		name: "failover", measured: worst.String(),
		target: "<" + failoverTarget.String(), met: worst < failoverTarget,
	})
	return nil
}

func (c *cluster) awaitCaughtUp(i, leader int) error {
	limit := time.Now().Add(startTimeout)
	want := c.replicas[leader].node.Status().CommitIndex
	for c.replicas[i].node.Status().AppliedIndex < want {
		if time.Now().After(limit) {
			return errors.New("a replica does not catch up")
		}
		time.Sleep(catchUpInterval)
	}
	return nil
}

// measureIdle counts the bytes between the replicas, and the processor time and
// memory of all three, when nothing is proposed.
func measureIdle(r *run) error {
	c, err := startCluster(r, clusterOptions{name: "idle", countTraffic: true})
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	const settle = time.Second
	time.Sleep(settle)
	window := r.length / 12
	before, used := c.traffic(), processorTime()
	time.Sleep(window)
	bytes := float64(c.traffic()-before) / window.Seconds()
	share := float64(processorTime()-used) / float64(window)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.figure("idle bytes_per_second_of_cluster=%.0f per_follower=%.0f processor_share_of_three=%.4f heap_of_three=%.1fMB",
		bytes, bytes/(clusterSize-1), share, float64(m.HeapInuse)/(1<<20))
	return nil
}

func (c *cluster) traffic() int64 {
	var sum int64
	for _, f := range c.counters {
		sum += f.Bytes()
	}
	return sum
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureRestart restarts a follower after few and many entries, with snapshots
// and, as the baseline, without.
func measureRestart(r *run) error {
	for _, entries := range []int{1_000, 100_000} {
		for _, snapshots := range []bool{true, false} {
			if err := measureRestartAfter(r, entries, snapshots); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func measureRestartAfter(r *run, entries int, snapshots bool) error {
	o := clusterOptions{name: "restart"}
	if !snapshots {
		o.snapshotEntries = noSnapshots
	}
	c, err := startCluster(r, o)
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	leader, err := c.awaitLeader()
	if err != nil {
		return errors.Trace(err)
	}
	if err := fill(c.replicas[leader].node, entries); err != nil {
		return errors.Trace(err)
	}
	follower := (leader + 1) % clusterSize
	if err := c.awaitCaughtUp(follower, leader); err != nil {
		return errors.Trace(err)
	}
	c.stopOne(follower)
	began := time.Now()
	if err := c.start(follower); err != nil {
		return errors.Trace(err)
	}
	opened := time.Since(began).Round(time.Microsecond)
	if err := c.awaitCaughtUp(follower, leader); err != nil {
		return errors.Trace(err)
	}
	r.figure("restart entries=%d snapshots=%v files_read=%v caught_up=%v",
		entries, snapshots, opened, time.Since(began).Round(time.Microsecond))
	return nil
}

// fill commits a number of commands.
func fill(n *consensus.Node, entries int) error {
	var left atomic.Int64
	left.Store(int64(entries))
	var failed atomic.Pointer[error]
	var group sync.WaitGroup
	for range fillClients {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				if _, err := n.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	group.Wait()
	if err := failed.Load(); err != nil {
		return errors.Trace(*err)
	}
	return nil
}
