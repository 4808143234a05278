// Package proptest sets the random seed of property tests. The default seed is 1, so
// that every CI run generates the same inputs. SEED=n with -count=1 runs the tests
// with another seed, and command-line flags override both.
package proptest

import (
	"flag"
	"os"
	"testing"
)

const defaultSeed = "1"

// Flag is a command-line flag of pgregory.net/rapid, such as rapid.checks, and its value.
type Flag struct {
	Name, Value string
}

// Main sets the given flags and the seed, runs the tests of m and returns the exit
// status. It is called from the TestMain of a package with property tests. It panics
// when a flag does not exist.
func Main(m *testing.M, flags ...Flag) int {
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = defaultSeed
	}
	// Rapid prints the seed of a failing test, so no file is needed to reproduce it.
	flags = append(flags, Flag{"rapid.seed", seed}, Flag{"rapid.nofailfile", "true"})
	for _, f := range flags {
		if err := flag.Set(f.Name, f.Value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	return m.Run()
}
