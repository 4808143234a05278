package burn

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of drawn tests; SEED replays another.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
