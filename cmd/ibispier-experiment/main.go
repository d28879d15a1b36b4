// Command ibispier-experiment compares placement policies by simulation in virtual
// time.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/ibispier/ibispier/experiment"
)

func main() {
	seedCount := flag.Uint64("seeds", 5, "number of seeds, starting from seed 1")
	policies := flag.String("policies", "", "comma-separated policies to compare with the baseline; empty for all")
	jsonOutput := flag.Bool("json", false, "write JSON instead of tables")
	flag.Parse()
	if err := run(os.Stdout, *seedCount, *policies, *jsonOutput); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, seedCount uint64, policyNames string, jsonOutput bool) error {
	var seeds []uint64
	for seed := range seedCount {
		seeds = append(seeds, seed+1)
	}
	policies := selectPolicies(policyNames)
	report := experiment.Measure([]experiment.Scenario{experiment.Veilinghal, experiment.Ogbomoso}, policies, seeds)
	report.Ratios = append(report.Ratios, experiment.MeasureZoneWork(experiment.ZoneOut, policies, seeds)...)
	if jsonOutput {
		return report.WriteJSON(out)
	}
	return report.WriteTable(out)
}

// selectPolicies returns the baseline and the named policies.
func selectPolicies(names string) []experiment.Policy {
	all := experiment.Policies()
	if names == "" {
		return all
	}
	chosen := all[:1]
	for _, p := range all[1:] {
		if slices.Contains(strings.Split(names, ","), p.Name) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}
