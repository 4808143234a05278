package feed

import (
	"os"
	"testing"

	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain sets a fixed seed for property tests. SEED=n selects another one.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}
