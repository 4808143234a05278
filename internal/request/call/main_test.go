package call

import (
	"os"
	"testing"

	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain sets a fixed seed for the property tests, unless SEED is set.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m, proptest.Flag{Name: "rapid.checks", Value: historiesPerShard}))
}
