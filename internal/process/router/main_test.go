package router

import (
	"os"
	"testing"

	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain runs the property tests with a fixed seed, or with that in SEED.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}
