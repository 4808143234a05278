package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const refusedManifest = `{"version":1,"routes":[
 {"name":"pay","host":"desk.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1},
 {"name":"order","host":"desk.example","path_prefix":"/order/","type":"safe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2}],
 "services":[{"name":"desk","health_path":"/healthz","max_connections":370}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"huka270","api_keys":["key-1"],"priority":1}]}`

const (
	// lookupsPerSecond and paymentsPerSecond are those of the sheet.
	lookupsPerSecond, paymentsPerSecond = 8, 11.5
	// lostAnswers and lostTime are x and for_s of "answer_lost" with "reset"; share is 0.6.
	lostAnswers = 0.4
	lostTime    = 4 * time.Second
	// lostAt is when answers begin to be lost, createdAt when the order exists, both from the begin of the traffic.
	lostAt, createdAt = 5 * time.Second, 30 * time.Second
	trafficTime       = 95 * time.Second
)

// desk is a replica whose lookups are answered with 404 until the order exists.
type desk struct {
	*replica
	state *deskState
	index int
}

type deskState struct {
	mu              sync.Mutex
	created, losing bool
	lost            int
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isCall := r.Header.Get("Attempt-Id") != "" && r.Header.Get("Target-Instance") == d.id
	d.state.mu.Lock()
	created := d.state.created
	isLost := isCall && d.state.losing && d.index < affected && rand.Float64() < lostAnswers
	if isLost {
		d.state.lost++
	}
	d.state.mu.Unlock()
	switch {
	case isLost:
		_, _ = io.Copy(io.Discard, r.Body) // the answer is lost in any case
		d.runs.add(r.Header.Get("Attempt-Id"), d.replica)
		time.Sleep(d.work)
		panic(http.ErrAbortHandler) // resets the channel
	case isCall && strings.HasPrefix(r.URL.Path, "/order/") && !created:
		d.runs.add(r.Header.Get("Attempt-Id"), d.replica)
		time.Sleep(d.work)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Signature", "signed-by-"+d.id)
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "no such order")
	default:
		d.replica.ServeHTTP(w, r)
	}
}

// deskReplicas is the number of replicas of the desk service. affected of them lose answers: 0.6 of them, rounded
// as the bench does.
const deskReplicas, affected = 3, 2

// kind counts the requests of one kind.
type kind struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
	// refusal is the text of the last refusal.
	refusal string
}

func (k *kind) add(status int, text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent++
	if status == http.StatusServiceUnavailable {
		k.refusal = strings.TrimSpace(text)
	}
	if status == http.StatusOK {
		k.served++
	}
	k.statuses[status]++
}

func (k *kind) counts() (sent, served int, statuses string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sent, k.served, fmt.Sprint(k.statuses)
}

func runRefused(folder string, trouble bool, rec *record) (bool, error) {
	all, state := newRuns(), &deskState{}
	s, err := startSystem(folder, 3, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	var entries []string
	for i := range deskReplicas {
		r, err := startReplica(fmt.Sprintf("i-%04d", i+1), "desk", fmt.Sprintf("zone-%c", 'a'+i%3), "127.0.53.1", 30*time.Millisecond, rec, all)
		if err != nil {
			return false, err
		}
		r.server.Handler = &desk{replica: r, state: state, index: i}
		entries = append(entries, r.entry("ready"))
	}
	s.platform.publish(entries)
	if err := s.putManifest(refusedManifest); err != nil {
		return false, err
	}
	time.Sleep(contact)
	begin := time.Now()
	stop := make(chan struct{})
	orders, payments := &kind{statuses: map[int]int{}}, &kind{statuses: map[int]int{}}
	var traffic sync.WaitGroup
	traffic.Go(func() {
		s.send(stop, lookupsPerSecond, orders, func(n int) (method, path, body string) { return http.MethodGet, "/order/4711", "" })
	})
	traffic.Go(func() {
		s.send(stop, paymentsPerSecond, payments, func(n int) (method, path, body string) { return http.MethodPost, "/pay/x", fmt.Sprint("payment ", n) })
	})
	for second := 0; time.Since(begin) < trafficTime; second++ {
		state.mu.Lock()
		state.created = time.Since(begin) >= createdAt
		state.losing = trouble && time.Since(begin) >= lostAt && time.Since(begin) < lostAt+lostTime
		lost := state.lost
		state.mu.Unlock()
		if second%10 == 0 {
			_, _, o := orders.counts()
			_, _, p := payments.counts()
			rec.add("%v: lookups by status: %s; payments: %s; answers lost so far: %d", time.Since(begin).Round(time.Second), o, p, lost)
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	traffic.Wait()
	sent, served, o := orders.counts()
	sentPay, servedPay, p := payments.counts()
	rec.add("lookups by status: %s; payments: %s; text of the last refusal of a lookup: %q", o, p, orders.refusal)
	share, shareAll := float64(served)/float64(sent), float64(served+servedPay)/float64(sent+sentPay)
	rec.add("served: %d of %d lookups (%.2f), %d of %d requests (%.2f); a quarter is %.2f", served, sent, share, served+servedPay, sent+sentPay, shareAll, shareAll/4)
	if servedPay == 0 {
		return false, fmt.Errorf("no payment was served")
	}
	return share < shareAll/4, nil
}

// send sends requests at a rate to the entries in turn until stop is closed.
func (s *system) send(stop chan struct{}, perSecond float64, k *kind, next func(n int) (method, path, body string)) {
	client := &http.Client{Timeout: consumerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var open sync.WaitGroup
	defer open.Wait()
	ticks := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		method, path, body := next(n)
		open.Go(func() {
			req, err := http.NewRequest(method, "http://"+s.caller(n%len(s.entries))+path, strings.NewReader(body))
			if err != nil {
				return
			}
			req.Host = "desk.example"
			req.Header.Set("Attempt-Id", fmt.Sprintf("%s-%d", strings.ToLower(method), n))
			req.Header.Set("Credential", "key-1")
			req.Header.Set("Deadline-Ms", "2500")
			resp, err := client.Do(req)
			if err != nil {
				k.add(0, "")
				return
			}
			text, _ := io.ReadAll(resp.Body) // what was read is recorded
			_ = resp.Body.Close()
			k.add(resp.StatusCode, string(text))
		})
	}
}
