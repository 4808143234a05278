package main

import (
	"net/http"
	"sync"
	"time"
)

// The load and the releases of the case "descriptors".
const (
	maxFDs         = 4100
	liveReplicas   = 30
	slots          = 64
	workTime       = 100 * time.Millisecond
	consumers      = 300
	releasePercent = 34
	releaseStep    = 6
	releaseGap     = 780 * time.Millisecond
	drainTime      = 4 * time.Second // bound drain_ms
	troubleTime    = 85 * time.Second
	contactTime    = 4 * time.Second
	newConsumers   = 8
)

// descriptors replaces the replicas of a service, release after release, and then lets consumers open new
// channels.
func descriptors(b *bed) (bool, error) {
	for range 3 {
		b.addKeeper(true)
	}
	b.addEntry(maxFDs, memoryGrown)
	for range liveReplicas {
		if _, err := b.addReplica(slots, workTime); err != nil {
			return false, err
		}
	}
	b.list.set(b.entriesNow())
	if err := b.start(); err != nil {
		return false, err
	}
	if err := b.putManifest(manifest(1)); err != nil {
		return false, err
	}
	ready := b.readiness(0)
	if !waitUntil(startLimit, ready.ask) {
		return false, errNotReady
	}
	b.record.line("the entry machine is ready; %d replicas, %d consumers", liveReplicas, consumers)
	stop := make(chan struct{})
	var counts callCounts
	var crowd sync.WaitGroup
	for range consumers {
		crowd.Go(func() { b.consume(stop, &counts) })
	}
	end := time.Now().Add(troubleTime)
	go func() {
		for time.Now().Before(end) {
			time.Sleep(5 * time.Second)
			b.record.line("descriptors %d, ready %v, replicas started %d, answers %v", b.entries[0].descriptors(), ready.ask(), b.started, counts.take())
		}
	}()
	if b.trouble {
		b.releaseUntil(end)
	} else {
		time.Sleep(time.Until(end))
	}
	time.Sleep(drainTime + 3*time.Second)
	broken := b.tryNewChannels(ready)
	close(stop)
	crowd.Wait()
	return broken, nil
}

func (b *bed) releaseUntil(end time.Time) {
	for time.Now().Before(end) {
		left := liveReplicas * releasePercent / 100
		for left > 0 {
			n := min(left, releaseStep)
			left -= n
			for range n {
				b.replaceOldest()
			}
			b.list.publish(b.entriesNow())
			time.Sleep(releaseGap)
		}
	}
}

// replaceOldest starts a replica and drains the oldest one that isn't draining.
func (b *bed) replaceOldest() {
	if _, err := b.addReplica(slots, workTime); err != nil {
		b.record.line("start of a replica: %v", err)
		return
	}
	b.mu.Lock()
	var oldest *replica
	for _, r := range b.replicas {
		if r.entry.State == "ready" {
			oldest = r
			break
		}
	}
	b.mu.Unlock()
	b.drain(oldest)
	time.AfterFunc(listLag+drainTime+500*time.Millisecond, func() {
		oldest.stop()
		b.remove(oldest)
		b.list.publish(b.entriesNow())
	})
}

func (b *bed) tryNewChannels(ready *readiness) bool {
	begin := time.Now()
	var tries sync.WaitGroup
	var mu sync.Mutex
	answered, saidReady := 0, true
	for range newConsumers {
		tries.Go(func() {
			for time.Since(begin) < contactTime+2*time.Second {
				client := newConsumer()
				status, _, _ := b.call(client, 0, time.Second)
				client.CloseIdleConnections()
				mu.Lock()
				if status != 0 {
					answered++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for time.Since(begin) < contactTime+2*time.Second {
		ok := ready.ask()
		saidReady = saidReady && ok
		time.Sleep(time.Second)
	}
	tries.Wait()
	b.record.line("descriptors %d; new channels that got an answer: %d; said that it is ready: %v", b.entries[0].descriptors(), answered, saidReady)
	return answered == 0 && saidReady
}

// consume sends calls on a kept channel, and on a new one after a failure.
func (b *bed) consume(stop chan struct{}, counts *callCounts) {
	client := newConsumer()
	for {
		select {
		case <-stop:
			client.CloseIdleConnections()
			return
		default:
		}
		status, _, err := b.call(client, 0, 2500*time.Millisecond)
		counts.add(status)
		if err != nil || status != http.StatusOK {
			client.CloseIdleConnections()
			client = newConsumer()
			time.Sleep(100 * time.Millisecond)
		}
	}
}
