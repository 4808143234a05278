package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const descriptorManifest = `{"version":1,"routes":[
 {"name":"pay","host":"desk.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk","health_path":"/healthz","max_connections":360}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// contact is contact_ms.
	contact = 4 * time.Second
	// minNewcomers is the number of consumers that must try a new channel.
	minNewcomers = 7

	fleetSize    = 40
	keptChannels = 480
	newcomers    = 10
	workTime     = 250 * time.Millisecond
	// releasePercent, releaseStep and releaseGap are the share, x and gap_s of a release.
	releasePercent = 45
	releaseStep    = 6
	releaseGap     = time.Second
	// releasesFor is the time in which one release follows the other; calm is the time after that.
	releasesFor = 56 * time.Second
	calm        = 15 * time.Second
	// drainTime is drain_ms: how long a replica is listed as draining before it ends.
	drainTime = 4 * time.Second
)

// fleet is the replicas of a service, which releases replace.
type fleet struct {
	record *record
	runs   *runs

	mu       sync.Mutex
	next     int
	ready    []*replica
	draining []*replica
	platform *platform
}

// add starts a replica, which is listed from the next publish on.
func (f *fleet) add() error {
	f.next++
	r, err := startReplica(fmt.Sprintf("i-%04d", f.next), "desk", fmt.Sprintf("zone-%c", 'a'+f.next%3), "127.0.53.1", workTime, f.record, f.runs)
	if err == nil {
		f.ready = append(f.ready, r)
	}
	return err
}

// publish lists the replicas.
func (f *fleet) publish() {
	var entries []string
	for _, r := range f.ready {
		entries = append(entries, r.entry("ready"))
	}
	for _, r := range f.draining {
		entries = append(entries, r.entry("draining"))
	}
	f.platform.publish(entries)
}

// replace starts n replicas and drains the n oldest, which end after drainTime.
func (f *fleet) replace(n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		if err := f.add(); err != nil {
			return err
		}
	}
	old := f.ready[:n]
	f.ready = f.ready[n:]
	f.draining = append(f.draining, old...)
	f.publish()
	time.AfterFunc(drainTime+time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.draining = f.draining[n:]
		f.publish()
		for _, r := range old {
			r.end()
		}
	})
	return nil
}

// releases replaces replicas until end: each release replaces releasePercent of them.
func (f *fleet) releases(end time.Time) error {
	for n := 1; time.Now().Before(end); n++ {
		left := fleetSize * releasePercent / 100
		f.record.add("release %d begins", n)
		for ; left > 0 && time.Now().Before(end); left -= releaseStep {
			if err := f.replace(min(left, releaseStep)); err != nil {
				return err
			}
			time.Sleep(releaseGap)
		}
	}
	f.record.add("the releases have ended: %d replicas were replaced", f.next-fleetSize)
	return nil
}

// channels has what consumers and the provider saw of new channels.
type channels struct {
	mu sync.Mutex
	// tried has the consumers that tried a new channel, taken the times at which one was answered.
	tried []attempt
	taken []time.Time
	ready []readyAnswer
}

type attempt struct {
	at       time.Time
	newcomer int
}

type readyAnswer struct {
	at time.Time
	ok bool
}

// longestGap returns the longest time in which the VM said that it is ready, enough consumers tried a new
// channel, and none was answered.
func (c *channels) longestGap(end time.Time) (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := append([]time.Time{c.tried[0].at}, c.taken...)
	times = append(times, end)
	for i := 1; i < len(times); i++ {
		from, to := times[i-1], times[i]
		who := map[int]bool{}
		for _, a := range c.tried {
			if a.at.After(from) && a.at.Before(to) {
				who[a.newcomer] = true
			}
		}
		isReady := true
		for _, r := range c.ready {
			if r.at.After(from) && r.at.Before(to) && !r.ok {
				isReady = false
			}
		}
		if isReady && len(who) >= minNewcomers {
			longest = max(longest, to.Sub(from))
		}
	}
	return longest
}

func runDescriptors(folder string, trouble bool, rec *record) (bool, error) {
	s, err := startSystem(folder, 1, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	f := &fleet{record: rec, runs: newRuns(), platform: s.platform}
	for range fleetSize {
		if err := f.add(); err != nil {
			return false, err
		}
	}
	f.publish()
	if err := s.putManifest(descriptorManifest); err != nil {
		return false, err
	}
	rec.add("the manifest is acknowledged")
	time.Sleep(contact)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, refused, failed atomic.Int64
	for i := range keptChannels {
		callers.Go(func() { s.callOnKeptChannel(i, stop, &served, &refused, &failed) })
	}
	seen := &channels{}
	for i := range newcomers {
		callers.Go(func() { s.tryNewChannels(i, stop, seen) })
	}
	callers.Go(func() { s.askReady(stop, seen) })
	callers.Go(func() {
		for tick := time.NewTicker(time.Second); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
				seen.mu.Lock()
				taken := len(seen.taken)
				seen.mu.Unlock()
				rec.add("on kept channels: %d served, %d refused, %d failed; new channels answered so far: %d; descriptors of the entry: %d of %d",
					served.Swap(0), refused.Swap(0), failed.Swap(0), taken, s.entries[0].descriptors(), maxDescriptors)
			}
		}
	})
	end := time.Now().Add(releasesFor)
	if trouble {
		err = f.releases(end)
	}
	time.Sleep(time.Until(end.Add(calm)))
	gap := seen.longestGap(time.Now())
	close(stop)
	callers.Wait()
	rec.add("longest time in which the entry said that it is ready, %d consumers tried a new channel and none was answered: %v; allowed: %v",
		minNewcomers, gap.Round(time.Millisecond), contact)
	return gap > contact, err
}

func request(path, id string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody"
}

// consumerTimeout is how long a consumer waits for an answer.
const consumerTimeout = 2500 * time.Millisecond

// callOnKeptChannel sends one request after the other on a channel that it keeps.
func (s *system) callOnKeptChannel(caller int, stop chan struct{}, served, refused, failed *atomic.Int64) {
	var conn net.Conn
	var r *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", s.caller(0), time.Second); err != nil {
				conn = nil
				failed.Add(1)
				time.Sleep(500 * time.Millisecond)
				continue
			}
			r = bufio.NewReader(conn)
		}
		_ = conn.SetDeadline(time.Now().Add(consumerTimeout)) // the read reports errors
		_, _ = io.WriteString(conn, request("/pay/x", fmt.Sprintf("kept-%d-%d", caller, n)))
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		switch {
		case err != nil:
			failed.Add(1)
		case resp.StatusCode == http.StatusOK:
			served.Add(1)
		default:
			refused.Add(1)
			time.Sleep(500 * time.Millisecond)
		}
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}

// tryNewChannels opens a new channel for each request.
func (s *system) tryNewChannels(newcomer int, stop chan struct{}, seen *channels) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		begin := time.Now()
		seen.mu.Lock()
		seen.tried = append(seen.tried, attempt{begin, newcomer})
		seen.mu.Unlock()
		conn, err := net.DialTimeout("tcp", s.caller(0), time.Second)
		if err != nil {
			s.record.add("newcomer %d: %v", newcomer, err)
			continue
		}
		_ = conn.SetDeadline(begin.Add(consumerTimeout)) // the read reports errors
		_, _ = io.WriteString(conn, request("/pay/x", fmt.Sprintf("new-%d-%d", newcomer, n)))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			seen.mu.Lock()
			seen.taken = append(seen.taken, time.Now())
			seen.mu.Unlock()
		}
		_ = conn.Close()
	}
}

// askReady asks the entry each second whether it is ready, as the provider does, on a channel that it keeps.
func (s *system) askReady(stop chan struct{}, seen *channels) {
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		at := time.Now()
		resp, err := client.Get("http://" + s.ready(0) + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if !ok {
			s.record.add("the entry did not say that it is ready: %v", err)
		}
		seen.mu.Lock()
		seen.ready = append(seen.ready, readyAnswer{at, ok})
		seen.mu.Unlock()
	}
}
