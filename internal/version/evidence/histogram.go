// Package evidence aggregates request outcomes by version. A router counts them
// between two reports. The control leader keeps the reports of the last minutes
// and compares two versions over the same period.
//
// Latencies are counted in histograms with fixed exponential buckets. Bucket i
// holds durations above UpperEdge(i-1) and up to UpperEdge(i), where UpperEdge(i)
// is 1 ms times 2^(i/4). Bucket 0 starts at 0 and the last bucket has no upper
// edge. A histogram is encoded as the list of its counts without trailing zeros.
package evidence

import (
	"math"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// BucketCount is the number of buckets. The last finite edge is about 17 min.
	BucketCount = 81
	// BucketsPerDoubling is the number of buckets for each doubling of the duration.
	BucketsPerDoubling = 4
	firstEdge          = time.Millisecond
)

// UpperEdge returns the largest duration that bucket i counts.
func UpperEdge(i int) time.Duration {
	return time.Duration(float64(firstEdge) * math.Exp2(float64(i)/BucketsPerDoubling))
}

var upperEdges = func() [BucketCount]time.Duration {
	var e [BucketCount]time.Duration
	for i := range e {
		e[i] = UpperEdge(i)
	}
	return e
}()

// Bucket returns the index of the bucket that counts d, 0 for negative durations.
func Bucket(d time.Duration) int {
	if d <= firstEdge {
		return 0
	}
	i := int(math.Ceil(BucketsPerDoubling * math.Log2(float64(d)/float64(firstEdge))))
	i = max(0, min(i, BucketCount-1))
	for i > 0 && d <= upperEdges[i-1] {
		i--
	}
	for i < BucketCount-1 && d > upperEdges[i] {
		i++
	}
	return i
}

// AddLatency adds n durations of d to h.
func AddLatency(h *chicoryv1.Histogram, d time.Duration, n uint32) {
	i := Bucket(d)
	for len(h.Buckets) <= i {
		h.Buckets = append(h.Buckets, 0)
	}
	h.Buckets[i] = addSaturating(h.Buckets[i], n)
}

// mergeHistogram adds src to dst and returns dst, which it allocates if it is nil.
// Buckets beyond BucketCount are ignored.
func mergeHistogram(dst, src *chicoryv1.Histogram) *chicoryv1.Histogram {
	buckets := src.GetBuckets()
	if len(buckets) == 0 {
		return dst
	}
	if dst == nil {
		dst = &chicoryv1.Histogram{}
	}
	buckets = buckets[:min(len(buckets), BucketCount)]
	for len(dst.Buckets) < len(buckets) {
		dst.Buckets = append(dst.Buckets, 0)
	}
	for i, n := range buckets {
		dst.Buckets[i] = addSaturating(dst.Buckets[i], n)
	}
	return dst
}

func addSaturating(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}

// Total returns the number of durations in h.
func Total(h *chicoryv1.Histogram) uint64 {
	var n uint64
	for _, c := range h.GetBuckets() {
		n += uint64(c)
	}
	return n
}

// CountAbove returns the number of durations of h in buckets after the given one.
func CountAbove(h *chicoryv1.Histogram, bucket int) uint64 {
	var n uint64
	for i := max(bucket+1, 0); i < len(h.GetBuckets()); i++ {
		n += uint64(h.Buckets[i])
	}
	return n
}

// QuantileBucket returns the index of the bucket that holds the quantile q of h,
// with q between 0 and 1. It returns false if h is empty.
func QuantileBucket(h *chicoryv1.Histogram, q float64) (int, bool) {
	total := Total(h)
	if total == 0 {
		return 0, false
	}
	var n uint64
	for i, c := range h.GetBuckets() {
		n += uint64(c)
		if float64(n) >= q*float64(total) {
			return i, true
		}
	}
	return len(h.GetBuckets()) - 1, true
}
