package call

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the drawn histories; SEED replays another one,
// with -count=1, because the cache of test results does not see it.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := "1"
	if s := os.Getenv("SEED"); s != "" {
		seed = s
	}
	for name, value := range map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     historiesPerShard,
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
