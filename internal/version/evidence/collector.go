package evidence

import (
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

const (
	// maxCells bounds the memory of a collector; a cell takes at most about 1.2 KB.
	maxCells = 4096
	// maxTeamCells is the number of cells after which new teams are counted under
	// OtherTeams, so that versions are still told apart.
	maxTeamCells = 3072
	// OtherTeams is the team name for teams that have no cell of their own.
	OtherTeams = "(other)"
)

// Collector counts observations of one router between two reports. It implements
// request.Recorder. Its lock is held for a map access and a few additions only.
type Collector struct {
	mu      sync.Mutex
	cells   map[key]*chicoryv1.VersionEvidence
	dropped uint64
}

var _ request.Recorder = (*Collector)(nil)

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{cells: make(map[key]*chicoryv1.VersionEvidence)}
}

// Record counts o.
func (c *Collector) Record(o request.Observation) {
	k := key{route: o.Route, version: o.Version, zone: o.AvailabilityZone, team: o.Team}
	if o.HighLoad {
		k.loadLevel = 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.cell(k); e != nil {
		count(e, o)
	} else {
		c.dropped++
	}
}

// cell returns the cell of k, or nil when the collector is full.
func (c *Collector) cell(k key) *chicoryv1.VersionEvidence {
	if e, ok := c.cells[k]; ok {
		return e
	}
	if len(c.cells) >= maxTeamCells {
		k.team = OtherTeams
		if e, ok := c.cells[k]; ok {
			return e
		}
	}
	if len(c.cells) >= maxCells {
		return nil
	}
	e := &chicoryv1.VersionEvidence{
		Route: k.route, Version: k.version, AvailabilityZone: k.zone, Team: k.team, LoadLevel: k.loadLevel,
	}
	c.cells[k] = e
	return e
}

// count adds one observation to e.
func count(e *chicoryv1.VersionEvidence, o request.Observation) {
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
	e.FirstToken = addIfSeen(e.FirstToken, o.FirstToken)
	e.TokenGap = addIfSeen(e.TokenGap, o.MeanGap)
	e.CallLatency = addIfSeen(e.CallLatency, o.CallLatency)
}

func addIfSeen(h *chicoryv1.Histogram, d time.Duration) *chicoryv1.Histogram {
	if d <= 0 {
		return h
	}
	if h == nil {
		h = &chicoryv1.Histogram{}
	}
	AddLatency(h, d, 1)
	return h
}

// Drain returns all cells and starts anew. The caller sends them once; when it is
// known that they did not arrive, it gives them to Return.
func (c *Collector) Drain() []*chicoryv1.VersionEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*chicoryv1.VersionEvidence, 0, len(c.cells))
	for _, e := range c.cells {
		out = append(out, e)
	}
	c.cells = make(map[key]*chicoryv1.VersionEvidence)
	return out
}

// Return merges drained evidence back that was not delivered. Cells beyond the
// collector's bound are dropped and counted.
func (c *Collector) Return(list []*chicoryv1.VersionEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, src := range list {
		if e := c.cell(keyOf(src)); e != nil {
			Merge(e, src)
		} else {
			c.dropped += src.GetRequests()
		}
	}
}

// Dropped returns how many requests were not counted because the collector was full.
func (c *Collector) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}
