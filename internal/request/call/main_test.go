package call

import (
	"os"
	"testing"

	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
)

// TestMain sets a fixed seed for the property tests, unless SEED is set.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m, drawn.Flag{Name: "rapid.checks", Value: historiesPerShard}))
}
