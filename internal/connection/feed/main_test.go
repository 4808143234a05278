package feed

import (
	"os"
	"testing"

	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
)

// TestMain fixes the seed of drawn tests; SEED draws anew.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m))
}
