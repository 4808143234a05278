package speed

import (
	"os"
	"testing"

	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain fixes the seed of property tests; the environment variable SEED overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}
