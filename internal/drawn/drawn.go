// Package drawn fixes the random draws of property tests. The seed is 1, so that
// every run of CI draws the same; SEED=n with -count=1 draws anew, and flags of the
// command line go before both.
package drawn

import (
	"flag"
	"os"
	"testing"
)

const defaultSeed = "1"

// Flag is a flag of pgregory.net/rapid, such as rapid.checks, and its value.
type Flag struct {
	Name, Value string
}

// Main is what TestMain of a package with property tests calls. It returns the exit
// status. It panics when rapid has no flag of a given name.
func Main(m *testing.M, flags ...Flag) int {
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = defaultSeed
	}
	// The seed is printed with a failure, so no file is needed to repeat it.
	flags = append(flags, Flag{"rapid.seed", seed}, Flag{"rapid.nofailfile", "true"})
	for _, f := range flags {
		if err := flag.Set(f.Name, f.Value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	return m.Run()
}
