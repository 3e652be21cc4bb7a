// Package property runs the property tests of a package with a fixed seed, so that
// every run gives the same result.
package property

import (
	"flag"
	"strconv"
	"testing"
)

// DefaultSeed is the seed of runs without the flag rapid.seed.
const DefaultSeed = 1

// Options sets how many cases the property tests of a package try. A field of 0
// selects the default of the library rapid.
type Options struct {
	// Checks is the number of cases of each property.
	Checks int
	// Steps is the number of steps of a state machine test in each case.
	Steps int
}

// Main runs the tests of a package with property tests, for use in its TestMain, and
// returns the exit code. Flags of the command line take precedence over options and
// DefaultSeed.
func Main(m *testing.M, options Options) int {
	flag.Parse()
	setDefault("rapid.seed", DefaultSeed)
	setDefault("rapid.checks", options.Checks)
	setDefault("rapid.steps", options.Steps)
	setFlag("rapid.nofailfile", "true")
	return m.Run()
}

// setDefault sets a flag that still has its default value. It ignores a value of 0.
func setDefault(name string, value int) {
	registered := flag.Lookup(name)
	if value != 0 && registered.Value.String() == registered.DefValue {
		setFlag(name, strconv.Itoa(value))
	}
}

// setFlag sets a flag of rapid. It panics when rapid does not have the flag, since the
// tests would then run with other cases than the package specifies.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
