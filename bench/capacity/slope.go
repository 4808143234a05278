package main

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// point is one measured value.
type point struct {
	x, y float64
}

// slope is a quantity measured over growing sizes.
type slope struct {
	// name is what CAPACITY.md calls the slope; of is what grows; unit is of y.
	name, of, unit string
	points         []point
}

func (s *slope) add(x, y float64) {
	s.points = append(s.points, point{x, y})
}

// fit returns the least squares line.
func (s *slope) fit() (intercept, perUnit float64) {
	xs, ys := s.columns()
	return stat.LinearRegression(xs, ys, nil, false)
}

// spread returns the largest distance of a point from the line, as a share of the
// largest value.
func (s *slope) spread() float64 {
	a, b := s.fit()
	worst, largest := 0.0, 0.0
	for _, p := range s.points {
		worst = max(worst, math.Abs(p.y-a-b*p.x))
		largest = max(largest, math.Abs(p.y))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}

func (s *slope) columns() (xs, ys []float64) {
	for _, p := range s.points {
		xs = append(xs, p.x)
		ys = append(ys, p.y)
	}
	return xs, ys
}

// heapBytes returns what is live on the heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapAndStackBytes returns the live heap and the stacks in use.
func heapAndStackBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the processor time of this process so far, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perCall returns the mean time of one call of f, over at least 50 ms.
func perCall(f func()) time.Duration {
	const least = 50 * time.Millisecond
	n := 0
	start := time.Now()
	for time.Since(start) < least {
		f()
		n++
	}
	return time.Since(start) / time.Duration(n)
}
