package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// controlVMs is the number of control VMs of the small deployments.
	controlVMs = 5
	// lostSeed is the index of the seed that is lost.
	lostSeed = 2
	// ack is ack_ms of the small deployments.
	ack = 4 * time.Second
	// replacedAfter is the time after which an empty machine at another address replaces the lost one.
	replacedAfter = 2 * time.Second
	// orderFor is how long the operator sends the manifest again.
	orderFor = 40 * time.Second
)

// runFounding starts a deployment for the first time while one machine of the core is lost.
func runFounding(folder string, trouble bool, rec *record) (bool, error) {
	s, err := newSystem(folder, controlVMs, 1, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	for i, p := range append(append([]*program{}, s.keepers...), s.entries...) {
		if trouble && i == lostSeed {
			rec.add("%s is lost", p.name)
			continue
		}
		if err := p.start(); err != nil {
			return false, err
		}
		rec.add("%s starts", p.name)
	}
	if trouble {
		time.Sleep(replacedAfter)
		if err := s.addKeeper(controlVMs, s.addresses(0, 1, 3), false); err != nil {
			return false, err
		}
		p := s.keepers[controlVMs]
		if err := p.start(); err != nil {
			return false, err
		}
		rec.add("%s, empty and at another address, replaces it", p.name)
	}
	time.Sleep(contact) // the core is stable
	rec.add("the operator sends the manifest: %s", strings.ReplaceAll(foreignManifest, "\n", ""))
	acknowledged := s.order(time.Now().Add(orderFor))
	if acknowledged == 0 {
		status, body, err := pay(&http.Client{Timeout: consumerTimeout}, s.caller(0), "pay-1")
		rec.add("a consumer's request is answered %d %q %v", status, body, err)
		rec.add("not acknowledged within %v, while %d control VMs ran all the time; allowed: %v", orderFor, len(s.keepers)-1, ack)
		return true, nil
	}
	rec.add("acknowledged after %v; allowed: %v", acknowledged.Round(time.Millisecond), ack)
	return acknowledged > ack, nil
}

// order sends the manifest to one control VM after the other until it is acknowledged. It returns how long
// that took, or 0 if the time has passed.
func (s *system) order(until time.Time) time.Duration {
	client := &http.Client{Timeout: time.Second}
	begin, last := time.Now(), ""
	for n := 0; time.Now().Before(until); n++ {
		status, text, err := s.sendManifest(client, n%len(s.keepers), foreignManifest)
		if err == nil && status == http.StatusOK {
			return max(time.Since(begin), 1)
		}
		answer := fmt.Sprintf("%s: status %d %q, error %v", s.keepers[n%len(s.keepers)].name, status, text, err)
		if n < len(s.keepers) || answer != last && n%50 == 0 {
			s.record.add("%s", answer)
		}
		last = answer
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
