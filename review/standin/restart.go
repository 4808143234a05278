package main

import (
	"fmt"
	"time"
)

// restartDeployment is a small deployment: five core and six edge machines, two services of three
// servers.
var restartDeployment = deployment{
	core: 5, edge: 6, retryExtra: 150,
	services: []service{
		{name: "fares", slots: 6, queue: 24, work: 15 * time.Millisecond, servers: 3},
		{name: "ledger", slots: 6, queue: 24, work: 15 * time.Millisecond, servers: 3},
	},
}

// restartConfig returns a configuration with a route to the service fares and, if added is set, a
// later one to the service ledger.
func restartConfig(version int, added bool) string {
	const route = `{"name":%q,"host":"desk.example","path_prefix":%q,"type":"safe","timeout_ms":600,"target_latency_ms":100,"priority":2,"service":%q,"max_attempts":2,"public":false}`
	routes := fmt.Sprintf(route, "first", "/first/", "fares")
	if added {
		routes += "," + fmt.Sprintf(route, "added", "/added/", "ledger")
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"fares","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false},{"name":"ledger","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"workshop","api_keys":["key-1"],"priority":1}]}`, version, routes)
}

const (
	// drainTime is how long a server serves once the list shows that it drains, drain_ms of the
	// sheets and a little longer.
	drainTime = 3200 * time.Millisecond
	// downTime is the time between the end of a server's process and its next start.
	downTime = 300 * time.Millisecond
	// settleTime is more than contact_ms, config_apply_ms and drain_ms together.
	settleTime = 9 * time.Second
	// sampleTime is the time of a measurement at sampleRate requests a second on each route.
	sampleTime = 8 * time.Second
	sampleRate = 8
	callWait   = 600 * time.Millisecond
	// minAdded is the number of requests on added routes from which the rule applies.
	minAdded = 20
)

// playRestart adds a route, lets the servers of its service be restarted one after the other, and
// compares in steady state how often the added and the first route are served.
func playRestart(b *bed, trouble bool) (string, error) {
	if err := b.putConfig(restartConfig(7, false), startLimit); err != nil {
		return "", err
	}
	if err := b.awaitReady(); err != nil {
		return "", err
	}
	if err := b.putConfig(restartConfig(12, true), operatorLimit); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	c := &caller{b: b}
	first, added := sampleRoutes(c)
	b.rec.note("before: first route %d of %d served, added route %d of %d", countServed(first), len(first), countServed(added), len(added))
	if 4*countServed(added) < 3*len(added) || 4*countServed(first) < 3*len(first) {
		return "", fmt.Errorf("the routes are not served before the restarts: first %d of %d, added %d of %d", countServed(first), len(first), countServed(added), len(added))
	}
	if trouble {
		for _, s := range b.servers["ledger"] {
			if err := restartInPlace(b, s); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(settleTime)
	first, added = sampleRoutes(c)
	servedFirst, servedAdded := countServed(first), countServed(added)
	text := fmt.Sprintf("first route %d of %d served, added route %d of %d", servedFirst, len(first), servedAdded, len(added))
	b.rec.note("after: %s", text)
	if len(added) >= minAdded && 4*servedAdded*len(first) < servedFirst*len(added) {
		return "CONFIG: in steady state, " + text, nil
	}
	return "", nil
}

// restartInPlace restarts a server under its ID at its address, as planned work: the list shows it
// as draining, it serves for drainTime, ends, and starts again.
func restartInPlace(b *bed, s *server) error {
	b.rec.note("platform: %s drains", s.id)
	b.list.set(s.entry("draining"))
	time.Sleep(listLag)
	s.drain()
	time.Sleep(drainTime)
	s.stop()
	time.Sleep(downTime)
	if err := s.start(); err != nil {
		return err
	}
	b.rec.note("platform: %s is ready again", s.id)
	b.list.set(s.entry("ready"))
	time.Sleep(listLag)
	return nil
}

// sampleRoutes sends requests on both routes at once.
func sampleRoutes(c *caller) (first, added []attempt) {
	done := make(chan []attempt)
	go func() { done <- c.sendMany("GET", "/first/fare", callWait, sampleRate, sampleTime) }()
	added = c.sendMany("GET", "/added/order", callWait, sampleRate, sampleTime)
	return <-done, added
}
