package main

import (
	"fmt"
	"os"
	"time"
)

// copiesDeployment is a small deployment whose one service runs some 300 requests a second.
var copiesDeployment = deployment{
	core: 5, edge: 6, retryExtra: 150,
	services: []service{{name: "ledger", slots: 6, queue: 2, work: 60 * time.Millisecond, servers: 3}},
}

const copiesConfig = `{"version":7,"routes":[{"name":"commission","host":"desk.example","path_prefix":"/commission/","type":"unsafe","timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"ledger","max_attempts":1,"public":false}],"services":[{"name":"ledger","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"workshop","api_keys":["key-1"],"priority":1}]}`

const (
	commissionWait = 600 * time.Millisecond // the deadline of place-commission
	usualRate      = 195.0                  // a second, about two thirds of what the servers run
	// burstFactor and burstTime are the burst of the site files, x = 1.7 and for_s = 3.0.
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	// calmTime is the time between two bursts.
	calmTime = 2500 * time.Millisecond
	bursts   = 16
	// copyShare is the share of the answers that a server sends a second time, and copyTime how
	// long it does: x = 0.03 and for_s = 5.0 of the site files. One of three servers does, of a
	// share of 0.6.
	copyShare = 0.03
	copyTime  = 5 * time.Second
)

// playCopies sends requests that must run at most once, in bursts, to servers of which one sends
// late copies of some answers. Without the disruption there are neither bursts nor copies, or only
// bursts if BURST=1 is set.
func playCopies(b *bed, trouble bool) (string, error) {
	if err := b.putConfig(copiesConfig, startLimit); err != nil {
		return "", err
	}
	if err := b.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	c := &caller{b: b}
	rate := usualRate
	if trouble || os.Getenv("BURST") == "1" {
		rate *= burstFactor
	}
	var all []attempt
	for i := range bursts {
		all = append(all, c.sendMany("POST", "/commission/place", commissionWait, usualRate, calmTime)...)
		s := b.servers["ledger"][i%3]
		if trouble {
			b.rec.note("server %s sends late copies of %v of its answers for %v", s.id, copyShare, copyTime)
			s.setSecondAnswers(copyShare)
			time.AfterFunc(copyTime, func() { s.setSecondAnswers(0) })
		}
		all = append(all, c.sendMany("POST", "/commission/place", commissionWait, rate, burstTime)...)
	}
	return judgeCopies(b, all), nil
}

// judgeCopies returns which requests ran twice, or ran although the answer said that they didn't.
func judgeCopies(b *bed, all []attempt) string {
	twice, refused, served, copies := 0, 0, 0, 0
	for _, a := range all {
		runs := 0
		for _, s := range b.servers["ledger"] {
			s.mu.Lock()
			runs += s.runs[a.id]
			s.mu.Unlock()
		}
		if runs > 1 {
			twice++
			b.rec.note("TWICE: %s ran %d times and was answered %d", a.id, runs, a.status)
		}
		if runs > 0 && a.promisesNotRun() {
			refused++
			b.rec.note("REFUSED: %s ran %d times and was answered %d", a.id, runs, a.status)
		}
		if a.served() {
			served++
		}
	}
	for _, s := range b.servers["ledger"] {
		s.mu.Lock()
		copies += s.copies
		s.mu.Unlock()
	}
	b.rec.note("%d requests, %d served, %d copies of answers; %d ran twice, %d ran and were answered as not run", len(all), served, copies, twice, refused)
	if twice+refused == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d of %d requests ran twice; REFUSED: %d ran and were answered as not run", twice, len(all), refused)
}
