package move

import (
	"os"
	"testing"

	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain runs the property tests with a fixed seed. The SEED variable sets another.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}
