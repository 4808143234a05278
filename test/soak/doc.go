// Package soak runs chicory-keeper and chicory-entry as separate processes on
// loopback, injects faults from outside and checks what callers, operators and targets
// observe. The seed determines the size of the system, its load and all faults.
//
// All of it is test code: the product's programs start no processes. The test binary is
// the soak command as well:
//
//	go test -c -o bin/soak ./test/soak
//	bin/soak run -programs bin -seed 7 -for 20s
//
// It exits with status 0 if all guarantees held, 1 if one was violated or the run was
// interrupted, and 2 if it could not start.
package soak
