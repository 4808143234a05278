// Package soak runs chicory-keeper and chicory-entry as separate processes on
// loopback, harms them from outside and checks what callers, operators and targets
// see. A seed draws the shape of the system, its load and all troubles.
//
// All of it is test code: programs of the product start no processes. The test binary
// is the soak's command as well:
//
//	go test -c -o bin/soak ./test/soak
//	bin/soak run -programs bin -seed 7 -for 20s
//
// It exits with 0 if all promises were kept, 1 if one was broken or the run was
// interrupted, and 2 if it could not start.
package soak
