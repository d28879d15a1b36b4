package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Bounds of the ratios to the baseline that the policy must meet.
const (
	BoundWaveP99   = 0.5  // at most
	BoundWork      = 0.95 // at least
	BoundEvictions = 0.7  // at most
	BoundZoneWork  = 0.9  // at least
)

// Ratios compares a policy to the baseline over all seeds of a scenario.
type Ratios struct {
	Scenario     string  `json:"scenario"`
	Policy       string  `json:"policy"`
	WaveP99      float64 `json:"wave_p99"` // median over the seeds
	WorstWaveP99 float64 `json:"wave_p99_worst"`
	Work         float64 `json:"work"`      // sum over the seeds
	Evictions    float64 `json:"evictions"` // sum over the seeds
	ZoneWork     float64 `json:"zone_work"` // sum over the seeds, as a share of what the capacity allows
}

// Report holds all runs and their ratios.
type Report struct {
	Seeds   []uint64 `json:"seeds"`
	Results []Result `json:"results"`
	Ratios  []Ratios `json:"ratios"`
}

// Measure runs the policies over the scenarios and seeds.
func Measure(scenarios []Scenario, policies []Policy, seeds []uint64) Report {
	report := Report{Seeds: seeds}
	for _, s := range scenarios {
		byPolicy := map[string][]Result{}
		for _, p := range policies {
			for _, seed := range seeds {
				byPolicy[p.Name] = append(byPolicy[p.Name], Run(s, p, seed))
			}
			report.Results = append(report.Results, byPolicy[p.Name]...)
		}
		for _, p := range policies[1:] {
			report.Ratios = append(report.Ratios, compare(s, p.Name, byPolicy[policies[0].Name], byPolicy[p.Name]))
		}
	}
	return report
}

func compare(s Scenario, policy string, baseline, results []Result) Ratios {
	var p99 []float64
	var work, baseWork, evictions, baseEvictions float64
	for i := range results {
		if baseline[i].WaveP99Ms > 0 {
			p99 = append(p99, results[i].WaveP99Ms/baseline[i].WaveP99Ms)
		}
		work, baseWork = work+results[i].WorkCoreSeconds, baseWork+baseline[i].WorkCoreSeconds
		evictions, baseEvictions = evictions+float64(results[i].Evictions), baseEvictions+float64(baseline[i].Evictions)
	}
	r := Ratios{Scenario: s.Name, Policy: policy, Work: work / baseWork}
	if len(p99) > 0 {
		r.WaveP99, r.WorstWaveP99 = percentile(p99, 0.5), slices.Max(p99)
	}
	if baseEvictions > 0 {
		r.Evictions = evictions / baseEvictions
	}
	return r
}

// MeasureZoneWork returns the work that each policy does from the start of a zone
// outage to the end of the recovery window, as a share of what the remaining
// capacity allows. The allowed work is the share of the capacity that remains
// times the work without an outage, taken from the policy or the baseline,
// whichever does more.
func MeasureZoneWork(s Scenario, policies []Policy, seeds []uint64) []Ratios {
	withoutOutage := s
	withoutOutage.ZoneOutage = false
	var ratios []Ratios
	for _, p := range policies {
		done, allowed := 0.0, 0.0
		for _, seed := range seeds {
			done += Run(s, p, seed).WindowWorkCoreSeconds
			undisturbed := max(Run(withoutOutage, p, seed).WindowWorkCoreSeconds, Run(withoutOutage, policies[0], seed).WindowWorkCoreSeconds)
			allowed += undisturbed * remainingShare(s)
		}
		ratios = append(ratios, Ratios{Scenario: s.Name, Policy: p.Name, ZoneWork: done / allowed})
	}
	return ratios
}

// remainingShare returns the share of the capacity that remains in the window of
// the zone outage. The notice period counts as part of the outage.
func remainingShare(s Scenario) float64 {
	inZone := 0
	for i := range s.Workers {
		if i/3%s.Zones == 1 {
			inZone++
		}
	}
	out := (zoneBackAt - zoneOutAt).Seconds() / (zoneWindowEnd - zoneOutAt).Seconds()
	return 1 - out*float64(inZone)/float64(s.Workers)
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as tables.
func (r Report) WriteTable(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tpolicy\tseed\twave p99 ms\tquiet p99 ms\tlost\twork\twindow\tcompleted\tevictions\tthrottles\tfailed\timpossible\turgent p99 s\tset aside")
	for _, x := range r.Results {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.4f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%d/%d\t%.2f\t%s\n",
			x.Scenario, x.Policy, x.Seed, x.WaveP99Ms, x.QuietP99Ms, x.LostShare, x.WorkCoreSeconds, x.WindowWorkCoreSeconds, x.Completed,
			x.Evictions, x.Throttles, x.FailedAttempts, x.Impossible, x.Impossible+x.Unreported, x.UrgentP99Seconds, x.Quarantined)
	}
	fmt.Fprintln(t, "\nscenario\tpolicy\twave p99\tworst\twork\tevictions\tzone work")
	for _, x := range r.Ratios {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", x.Scenario, x.Policy, x.WaveP99, x.WorstWaveP99, x.Work, x.Evictions, x.ZoneWork)
	}
	return t.Flush()
}
