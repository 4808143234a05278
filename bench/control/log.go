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
	commandBytes      = 512 // size of each proposed command
	maxClients        = 256
	failoverCount     = 8
	maxFailoverTime   = 2 * time.Second
	snapshotsDisabled = 1 << 30 // entries between snapshots; never reached
	fillClients       = 512
	catchUpInterval   = 100 * time.Microsecond
)

// measureCommitRate measures commits with 1 to 256 concurrent clients. The baseline is
// writing and syncing the same commands to a plain file.
func measureCommitRate(b *benchmark) error {
	window := b.duration / 12
	baseline, err := measureFileSyncs(filepath.Join(b.folder, "bare"), window/2)
	if err != nil {
		return errors.Trace(err)
	}
	b.printFigure("bare_sync rate=%.0f/s p50=%v p99=%v", baseline.rate, baseline.p50, baseline.p99)
	c, err := startReplicaCluster(b, clusterOptions{name: "rate"})
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	leader, err := c.awaitLeader()
	if err != nil {
		return errors.Trace(err)
	}
	for _, clients := range []int{1, 16, maxClients} {
		summary, err := measureCommits(c.replicas[leader].node, clients, window)
		if err != nil {
			return errors.Trace(err)
		}
		b.printFigure("commit clients=%d rate=%.0f/s p50=%v p99=%v of_bare_sync=%.2f",
			clients, summary.rate, summary.p50, summary.p99, summary.rate/baseline.rate)
	}
	return nil
}

// latencySummary holds the rate and the percentiles of measured latencies.
type latencySummary struct {
	rate     float64 // per second
	p50, p99 time.Duration
}

// summarise sorts latencies and summarises them.
func summarise(latencies []time.Duration, window time.Duration) latencySummary {
	slices.Sort(latencies)
	quantile := func(q float64) time.Duration {
		return latencies[int(q*float64(len(latencies)-1))].Round(time.Microsecond)
	}
	return latencySummary{rate: float64(len(latencies)) / window.Seconds(), p50: quantile(0.5), p99: quantile(0.99)}
}

// measureFileSyncs writes commands to a file one by one, with a sync after each.
func measureFileSyncs(path string, window time.Duration) (latencySummary, error) {
	f, err := os.Create(path)
	if err != nil {
		return latencySummary{}, errors.Trace(err)
	}
	defer f.Close()
	command := make([]byte, commandBytes)
	var latencies []time.Duration
	for start := time.Now(); time.Since(start) < window; {
		writeStart := time.Now()
		if _, err := f.Write(command); err != nil {
			return latencySummary{}, errors.Trace(err)
		}
		if err := f.Sync(); err != nil {
			return latencySummary{}, errors.Trace(err)
		}
		latencies = append(latencies, time.Since(writeStart))
	}
	return summarise(latencies, window), nil
}

// measureCommits proposes commands from concurrent clients.
func measureCommits(n *consensus.Node, clients int, window time.Duration) (latencySummary, error) {
	ctx, cancel := context.WithTimeout(context.Background(), window+startTimeout)
	defer cancel()
	var mu sync.Mutex
	var latencies []time.Duration
	var failed error
	var group sync.WaitGroup
	start := time.Now()
	for range clients {
		group.Go(func() {
			var clientLatencies []time.Duration
			var err error
			for err == nil && time.Since(start) < window {
				proposeStart := time.Now()
				_, err = n.Propose(ctx, make([]byte, commandBytes))
				clientLatencies = append(clientLatencies, time.Since(proposeStart))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, clientLatencies...)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	return summarise(latencies, time.Since(start)), errors.Trace(failed)
}

// measureFailover stops the leader repeatedly and measures the time until a new leader
// has committed a command.
func measureFailover(b *benchmark) error {
	c, err := startReplicaCluster(b, clusterOptions{name: "failover"})
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	var times []time.Duration
	for range failoverCount {
		old, err := c.awaitLeader()
		if err != nil {
			return errors.Trace(err)
		}
		start := time.Now()
		c.stopReplica(old)
		next, err := c.awaitLeader()
		if err != nil {
			return errors.Trace(err)
		}
		if _, err := c.replicas[next].node.Propose(context.Background(), []byte("x")); err != nil {
			return errors.Trace(err)
		}
		times = append(times, time.Since(start).Round(time.Millisecond))
		if err := c.startReplica(old); err != nil {
			return errors.Trace(err)
		}
		if err := c.awaitCaughtUp(old, next); err != nil {
			return errors.Trace(err)
		}
	}
	slices.Sort(times)
	worst := times[len(times)-1]
	b.printFigure("failover count=%d p50=%v max=%v", len(times), times[len(times)/2], worst)
	b.goals = append(b.goals, goal{
		name: "failover", measured: worst.String(),
		limit: "<" + maxFailoverTime.String(), met: worst < maxFailoverTime,
	})
	return nil
}

// awaitCaughtUp waits until replica i has applied all that the leader had committed
// at the time of the call.
func (c *replicaCluster) awaitCaughtUp(i, leader int) error {
	deadline := time.Now().Add(startTimeout)
	commit := c.replicas[leader].node.Status().CommitIndex
	for c.replicas[i].node.Status().AppliedIndex < commit {
		if time.Now().After(deadline) {
			return errors.New("a replica did not catch up with the leader in time")
		}
		time.Sleep(catchUpInterval)
	}
	return nil
}

// measureIdle measures the traffic between the replicas and the CPU time and memory of
// all three while nothing is proposed.
func measureIdle(b *benchmark) error {
	c, err := startReplicaCluster(b, clusterOptions{name: "idle", countTraffic: true})
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	const settleTime = time.Second
	time.Sleep(settleTime)
	window := b.duration / 12
	bytesBefore, cpuBefore := c.trafficBytes(), cpuTime()
	time.Sleep(window)
	bytesPerSecond := float64(c.trafficBytes()-bytesBefore) / window.Seconds()
	cpuShare := float64(cpuTime()-cpuBefore) / float64(window)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.printFigure("idle bytes_per_second_of_cluster=%.0f per_follower=%.0f processor_share_of_three=%.4f heap_of_three=%.1fMB",
		bytesPerSecond, bytesPerSecond/(clusterSize-1), cpuShare, float64(m.HeapInuse)/(1<<20))
	return nil
}

// trafficBytes returns the bytes passed between the replicas so far.
func (c *replicaCluster) trafficBytes() int64 {
	var sum int64
	for _, f := range c.forwarders {
		sum += f.Bytes()
	}
	return sum
}

// cpuTime returns the CPU time used by this process so far, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureRestart measures the restart of a follower after 1,000 and 100,000 entries,
// with snapshots and, as the baseline, without.
func measureRestart(b *benchmark) error {
	for _, entries := range []int{1_000, 100_000} {
		for _, snapshots := range []bool{true, false} {
			if err := measureRestartAfter(b, entries, snapshots); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// measureRestartAfter measures the time of a restarted follower until it has read its
// files and until it has caught up with the leader.
func measureRestartAfter(b *benchmark, entries int, snapshots bool) error {
	o := clusterOptions{name: "restart"}
	if !snapshots {
		o.snapshotEntries = snapshotsDisabled
	}
	c, err := startReplicaCluster(b, o)
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	leader, err := c.awaitLeader()
	if err != nil {
		return errors.Trace(err)
	}
	if err := commitEntries(c.replicas[leader].node, entries); err != nil {
		return errors.Trace(err)
	}
	follower := (leader + 1) % clusterSize
	if err := c.awaitCaughtUp(follower, leader); err != nil {
		return errors.Trace(err)
	}
	c.stopReplica(follower)
	start := time.Now()
	if err := c.startReplica(follower); err != nil {
		return errors.Trace(err)
	}
	filesRead := time.Since(start).Round(time.Microsecond)
	if err := c.awaitCaughtUp(follower, leader); err != nil {
		return errors.Trace(err)
	}
	b.printFigure("restart entries=%d snapshots=%v files_read=%v caught_up=%v",
		entries, snapshots, filesRead, time.Since(start).Round(time.Microsecond))
	return nil
}

// commitEntries commits the given number of commands.
func commitEntries(n *consensus.Node, entries int) error {
	var remaining atomic.Int64
	remaining.Store(int64(entries))
	var failed atomic.Pointer[error]
	var group sync.WaitGroup
	for range fillClients {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
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
