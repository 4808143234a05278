package control

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = "1"
	}
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}
