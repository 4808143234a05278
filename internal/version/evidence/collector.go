package evidence

import (
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

const (
	// maxEntries bounds the memory of a collector. An entry takes up to about 1.2 KB.
	maxEntries = 4096
	// maxTeamEntries is the number of entries from which new teams are counted under
	// OtherTeams. The rest of the entries keeps versions apart with many teams.
	maxTeamEntries = 3072
	// OtherTeams is the team name under which teams without their own entry are counted.
	OtherTeams = "(other)"
)

// Collector counts the observations of a router between two reports. It implements
// request.Recorder, which must not block: Record holds the lock only for map
// accesses and a few additions.
type Collector struct {
	mu      sync.Mutex
	entries map[key]*chicoryv1.VersionEvidence
	dropped uint64
}

var _ request.Recorder = (*Collector)(nil)

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{entries: make(map[key]*chicoryv1.VersionEvidence)}
}

// Record adds o to the entry with its labels. If the collector is full, it counts o
// as dropped.
func (c *Collector) Record(o request.Observation) {
	k := key{route: o.Route, version: o.Version, zone: o.AvailabilityZone, team: o.Team}
	if o.HighLoad {
		k.loadLevel = 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entry(k); e != nil {
		addObservation(e, o)
	} else {
		c.dropped++
	}
}

// entry returns the entry of k, which it creates if needed, or nil if the collector
// is full.
func (c *Collector) entry(k key) *chicoryv1.VersionEvidence {
	if e, ok := c.entries[k]; ok {
		return e
	}
	if len(c.entries) >= maxTeamEntries {
		k.team = OtherTeams
		if e, ok := c.entries[k]; ok {
			return e
		}
	}
	if len(c.entries) >= maxEntries {
		return nil
	}
	e := &chicoryv1.VersionEvidence{
		Route: k.route, Version: k.version, AvailabilityZone: k.zone, Team: k.team, LoadLevel: k.loadLevel,
	}
	c.entries[k] = e
	return e
}

// addObservation adds o to the counts of e.
func addObservation(e *chicoryv1.VersionEvidence, o request.Observation) {
	e.Requests++
	if o.Error {
		e.Errors++
	}
	if o.Crossed {
		e.Crossed++
	}
	if o.Resumed {
		e.Resumes++
	}
	e.FirstToken = addIfPositive(e.FirstToken, o.FirstToken)
	e.TokenGap = addIfPositive(e.TokenGap, o.MeanGap)
	e.CallLatency = addIfPositive(e.CallLatency, o.CallLatency)
}

func addIfPositive(h *chicoryv1.Histogram, d time.Duration) *chicoryv1.Histogram {
	if d <= 0 {
		return h
	}
	if h == nil {
		h = &chicoryv1.Histogram{}
	}
	AddLatency(h, d, 1)
	return h
}

// Drain returns all entries and empties the collector. The caller must not report
// them twice. If a report is known not to have arrived, the caller passes its
// entries to Restore.
func (c *Collector) Drain() []*chicoryv1.VersionEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*chicoryv1.VersionEvidence, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e)
	}
	c.entries = make(map[key]*chicoryv1.VersionEvidence)
	return out
}

// Restore adds drained entries that were not delivered to the collector again. The
// requests of entries that don't fit are counted as dropped.
func (c *Collector) Restore(list []*chicoryv1.VersionEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, src := range list {
		if e := c.entry(keyOf(src)); e != nil {
			Merge(e, src)
		} else {
			c.dropped += src.GetRequests()
		}
	}
}

// Dropped returns the number of requests that were lost because the collector was full.
func (c *Collector) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}
