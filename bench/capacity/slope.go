package main

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// point is the value y measured at size x.
type point struct {
	x, y float64
}

// slope is a quantity measured at growing sizes.
type slope struct {
	// name is the slope's name in CAPACITY.md, per the thing that x counts, and unit
	// the unit of y.
	name, per, unit string
	points          []point
}

func (s *slope) add(x, y float64) {
	s.points = append(s.points, point{x, y})
}

// fit returns the line fitted by least squares.
func (s *slope) fit() (intercept, perUnit float64) {
	xs, ys := s.columns()
	return stat.LinearRegression(xs, ys, nil, false)
}

// spread returns the largest residual of the fit as a share of the largest value.
func (s *slope) spread() float64 {
	intercept, perUnit := s.fit()
	maxResidual, maxValue := 0.0, 0.0
	for _, p := range s.points {
		maxResidual = max(maxResidual, math.Abs(p.y-intercept-perUnit*p.x))
		maxValue = max(maxValue, math.Abs(p.y))
	}
	if maxValue == 0 {
		return 0
	}
	return maxResidual / maxValue
}

// columns returns the x and y values of the points.
func (s *slope) columns() (xs, ys []float64) {
	for _, p := range s.points {
		xs = append(xs, p.x)
		ys = append(ys, p.y)
	}
	return xs, ys
}

// liveHeapBytes collects garbage and returns the bytes that stay allocated.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// liveHeapAndStackBytes collects garbage and returns the bytes that stay allocated
// on the heap, with those of the stacks.
func liveHeapAndStackBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the CPU time used by this process so far, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// meanDuration calls f repeatedly for at least 50 ms and returns the mean time of a
// call.
func meanDuration(f func()) time.Duration {
	const minRunTime = 50 * time.Millisecond
	n := 0
	start := time.Now()
	for time.Since(start) < minRunTime {
		f()
		n++
	}
	return time.Since(start) / time.Duration(n)
}
