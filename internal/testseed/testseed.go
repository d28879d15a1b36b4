// Package testseed fixes the random seeds of property tests, so that CI runs are
// reproducible.
package testseed

import (
	"flag"
	"os"
)

// FreshSeedsVariable is the environment variable that disables the fixed seeds
// when it is set to 1.
const FreshSeedsVariable = "IBISPIER_FRESH_SEEDS"

const (
	// seed is the fixed seed for rapid.
	seed = "20261204"
	// checks is the number of runs per property in place of defaultChecks, the
	// default of rapid: rare interleavings need more than a hundred runs.
	defaultChecks = "100"
	checks        = "1000"
)

// Fix sets the number of checks and the seed of rapid, except the seed if fresh
// seeds are enabled. TestMain calls it before the tests.
func Fix() {
	flag.Parse()
	setIfDefault("rapid.checks", defaultChecks, checks)
	if os.Getenv(FreshSeedsVariable) != "1" {
		setIfDefault("rapid.seed", "0", seed)
	}
}

// setIfDefault sets a flag if it still has its default value.
func setIfDefault(name, defaultValue, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != defaultValue {
		return
	}
	_ = flag.Set(name, value)
}
