package request_test

import (
	"flag"
	"os"
	"testing"
)

// The size of the property tests unless another one is given.
const (
	checks = "3000"
	steps  = "100"
)

// TestMain fixes the seed and the size of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.steps": steps} {
		if option := flag.Lookup(name); option.Value.String() == option.DefValue {
			_ = flag.Set(name, value)
		}
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
