// Command ibispier-experiment compares placement policies in virtual time.
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
	count := flag.Uint64("seeds", 5, "number of seeds, from 1")
	policies := flag.String("policies", "", "comma-separated policies beside the baseline; empty for all")
	asJSON := flag.Bool("json", false, "write JSON instead of tables")
	flag.Parse()
	if err := run(os.Stdout, *count, *policies, *asJSON); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, count uint64, names string, asJSON bool) error {
	var seeds []uint64
	for seed := range count {
		seeds = append(seeds, seed+1)
	}
	policies := selected(names)
	report := experiment.Measure([]experiment.Scenario{experiment.Veilinghal, experiment.Ogbomoso}, policies, seeds)
	report.Ratios = append(report.Ratios, experiment.ZoneWork(experiment.ZoneOut, policies, seeds)...)
	if asJSON {
		return report.WriteJSON(out)
	}
	return report.WriteTable(out)
}

// selected returns the baseline and the named policies.
func selected(names string) []experiment.Policy {
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
