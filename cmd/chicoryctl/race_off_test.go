//go:build !race

package main

// maxAllocatedMegabytes is what the check of the largest configuration expected may allocate.
const maxAllocatedMegabytes = 100
