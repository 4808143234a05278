//go:build race

package main

// maxAllocatedMegabytes is higher in builds with the race detector, which allocate about half as
// much again (101 MB where the program allocates 67 MB): the detector drops pooled buffers at
// random, and instrumented code keeps fewer values on the stack.
const maxAllocatedMegabytes = 150
