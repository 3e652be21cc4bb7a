package gossip_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
