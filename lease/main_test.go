package lease_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the property tests
// unless the command sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = flag.Set("rapid.checks", "2000")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
