package evidence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// randomObservation generates an observation with one of two values of each label.
func randomObservation(t *rapid.T) request.Observation {
	duration := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "ns"))
	})
	return request.Observation{
		Route:            rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"),
		Version:          rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
		Team:             rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
		AvailabilityZone: rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
		Error:            rapid.Bool().Draw(t, "error"),
		Crossed:          rapid.Bool().Draw(t, "crossed"),
		Resumed:          rapid.Bool().Draw(t, "resumed"),
		FirstToken:       duration.Draw(t, "first"),
		CallLatency:      duration.Draw(t, "latency"),
		HighLoad:         rapid.Bool().Draw(t, "load"),
	}
}

// TestCollectorMatchesDirectCount compares the merged evidence with counts taken
// directly from the observations. In between, reports are sent twice, and drained
// entries are restored as after a failed delivery.
func TestCollectorMatchesDirectCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, s := NewCollector(), NewStore()
		var all []request.Observation
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			o := randomObservation(t)
			all = append(all, o)
			c.Record(o)
			switch rapid.IntRange(0, 3).Draw(t, "report") {
			case 0:
				c.Restore(c.Drain())
			case 1:
				id, list := fmt.Sprint(i), c.Drain()
				assert.Assert(t, s.Add(time.Unix(0, 0), "r", id, list))
				assert.Assert(t, !s.Add(time.Unix(0, 0), "r", id, list), "a report sent twice was counted twice")
			}
		}
		s.Add(time.Unix(0, 0), "r", "last", c.Drain())
		strata, _ := s.StrataSince(0, "a", "1", "2")
		got := &chicoryv1.VersionEvidence{}
		for _, st := range strata {
			Merge(got, st.New)
		}
		var requests, errs, slow uint64
		for _, o := range all {
			if o.Route != "a" || o.Version != "2" {
				continue
			}
			requests++
			if o.Error {
				errs++
			}
			if o.FirstToken > UpperEdge(20) {
				slow++
			}
		}
		assert.Equal(t, got.GetRequests(), requests)
		assert.Equal(t, got.GetErrors(), errs)
		assert.Equal(t, CountAbove(got.GetFirstToken(), 20), slow)
	})
}

func TestBucketMatchesUpperEdge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(UpperEdge(BucketCount-2))).Draw(t, "ns"))
		b := Bucket(d)
		assert.Assert(t, d <= UpperEdge(b), "%s is above the edge of bucket %d", d, b)
		assert.Assert(t, b == 0 || d > UpperEdge(b-1), "%s belongs in a bucket before %d", d, b)
	})
}

func TestStrataSinceReturnsEachReportOnce(t *testing.T) {
	s := NewStore()
	one := []*chicoryv1.VersionEvidence{{Route: "a", Version: "1", Requests: 3}}
	s.Add(time.Unix(1, 0), "r", "1", one)
	strata, cursor := s.StrataSince(0, "a", "1", "2")
	assert.Equal(t, strata[0].Old.GetRequests(), uint64(3))
	strata, _ = s.StrataSince(cursor, "a", "1", "2")
	assert.Equal(t, len(strata), 0)
	s.Add(time.Unix(1, 0).Add(2*retention), "r", "2", one)
	assert.Equal(t, len(s.reports), 1, "reports older than the retention were kept")
}

func TestCollectorLimitsEntries(t *testing.T) {
	c := NewCollector()
	for i := range 2 * maxEntries {
		c.Record(request.Observation{Route: "a", Version: "1", Team: fmt.Sprint(i)})
	}
	var requests uint64
	list := c.Drain()
	for _, e := range list {
		requests += e.GetRequests()
	}
	assert.Assert(t, len(list) <= maxEntries)
	assert.Equal(t, requests, uint64(2*maxEntries), "requests of teams without their own entry were not counted")
	for i := range 2 * maxEntries {
		c.Record(request.Observation{Route: fmt.Sprint(i), Version: "1"})
	}
	assert.Equal(t, c.Dropped(), uint64(maxEntries))
}

func TestRateNeedsMinimumSpan(t *testing.T) {
	s := NewStore()
	for i := range 21 {
		s.Add(time.Unix(int64(i), 0), "r", "", []*chicoryv1.VersionEvidence{
			{Route: "a", Version: "1", Requests: 20}, {Route: "b", Version: "1", Requests: 1},
		})
		if i < 10 {
			assert.Equal(t, s.RequestRate(time.Unix(int64(i), 0), "a"), 0.0)
		}
	}
	assert.Equal(t, s.RequestRate(time.Unix(20, 0), "a"), 21.0)
	assert.Equal(t, s.RequestRate(time.Unix(20, 0), "c"), 0.0)
}
