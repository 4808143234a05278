package burn

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

var epoch = time.Unix(1_700_000_000, 0)

func testRoute(name string) *chicoryv1.Route {
	if name != "fares" {
		return nil
	}
	return &chicoryv1.Route{Name: name, Objectives: &chicoryv1.Objectives{
		AvailabilityMillipercent: 99_000, CallLatencyMs: 100, LatencyMillipercent: 90_000,
	}}
}

func newEvidence(version, team string, requests, errs uint64, latency time.Duration) *chicoryv1.VersionEvidence {
	e := &chicoryv1.VersionEvidence{Route: "fares", Version: version, Team: team, Requests: requests, Errors: errs}
	e.CallLatency = &chicoryv1.Histogram{}
	evidence.AddLatency(e.CallLatency, latency, uint32(requests))
	return e
}

// TestWindowsMatchNaiveSum compares each window with a plain sum over its reports.
func TestWindowsMatchNaiveSum(t *testing.T) {
	type report struct {
		at            time.Time
		requests, bad uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := epoch
		var all []report
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 9, 100, 4000, 90_000}).Draw(t, "gap")) * time.Second)
			requests := rapid.Uint64Range(1, 100).Draw(t, "requests")
			bad := rapid.Uint64Range(0, requests).Draw(t, "bad")
			all = append(all, report{now, requests, bad})
			tracker.Add(now, []*chicoryv1.VersionEvidence{newEvidence("1", "t", requests, bad, time.Millisecond)}, testRoute)
		}
		rows := tracker.Rows(now, "fares")
		for i, w := range windows {
			var want count
			oldest := now.UnixNano()/int64(w.slotLength) - int64(w.slotCount()) + 1
			for _, r := range all {
				if r.at.UnixNano()/int64(w.slotLength) >= oldest {
					want = want.plus(count{r.requests, r.bad})
				}
			}
			got := rows[i]
			assert.Equal(t, got.GetObjective(), string(Availability))
			assert.Equal(t, count{got.GetRequests(), got.GetBad()}, want)
		}
	})
}

func TestBurnRateAndBudget(t *testing.T) {
	tracker := NewTracker()
	tracker.Add(epoch, []*chicoryv1.VersionEvidence{
		newEvidence("1", "a", 100, 0, time.Millisecond), newEvidence("2", "a", 100, 2, time.Second),
		{Route: "unknown", Version: "1", Requests: 5},
	}, testRoute)
	rows := tracker.Rows(epoch, "")
	want := map[string]float64{
		"//availability": 1, "1//availability": 0, "2//availability": 2, "2/a/availability": 2,
		"//call_latency": 5, "1//call_latency": 0, "2//call_latency": 10,
	}
	assert.Equal(t, len(rows), 2*5*len(windows), "rows for objectives that the route does not set")
	for _, r := range rows {
		if v, ok := want[r.GetVersion()+"/"+r.GetTeam()+"/"+r.GetObjective()]; ok {
			assert.Assert(t, r.GetBurnRate() > v-1e-6 && r.GetBurnRate() < v+1e-6, "%v", r)
			assert.Assert(t, r.GetBudgetLeft() > 1-v-1e-6 && r.GetBudgetLeft() < 1-v+1e-6, "%v", r)
		}
	}
	text := FormatTable(rows)
	assert.Assert(t, strings.Contains(text, "BURN 5m") && strings.Contains(text, "BURN 3d"), text)
	assert.Equal(t, len(tracker.Rows(epoch.Add(2*BudgetPeriod), "")), 0, "old rows are kept")
	assert.Assert(t, strings.Contains(FormatTable(nil), "no requests"))
}

func TestPlotsAndGauges(t *testing.T) {
	tracker := NewTracker()
	tracker.Add(epoch, []*chicoryv1.VersionEvidence{newEvidence("1", "a", 100, 2, time.Second)}, testRoute)
	rows := tracker.Rows(epoch, "")
	for name, start := range map[string]string{"b.png": "\x89PNG", "b.svg": "<?xml"} {
		path := filepath.Join(t.TempDir(), name)
		assert.NilError(t, Plot(rows, path))
		b, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, bytes.HasPrefix(b, []byte(start)), name)
	}
	assert.ErrorContains(t, Render(rows, "gif", &bytes.Buffer{}), "gif")
	assert.NilError(t, Render(nil, "svg", &bytes.Buffer{}))
	registry := metrics.NewRegistry()
	SetGauges(registry, rows)
	g, ok := registry.Get("burn.fares.all.availability.5m").(metrics.GaugeFloat64)
	assert.Assert(t, ok)
	assert.Assert(t, g.Value() > 1.9 && g.Value() < 2.1)
	SetGauges(registry, nil)
	assert.Assert(t, registry.Get("burn.fares.all.availability.5m") == nil)
}
