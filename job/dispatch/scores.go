package dispatch

import "github.com/ibispier/ibispier/job"

// Weights of the scores. Reading data from another rack multiplies the run
// time, so data locality outweighs everything else.
const (
	dataLocalityWeight = 10.0
	idleCPUWeight      = 1.0
	packWeight         = 1.0
	paceWeight         = 2.0
	// servingWeight moves tasks that are neither serving nor filling to targets
	// with serving tasks, so that other targets remain on which filling tasks
	// disturb nothing.
	servingWeight = 3.0
	// imageAffinityWeight groups serving tasks by image. A filling image
	// disturbs about half of the serving images, so a target that serves one
	// image suits it far more often than a target that serves several.
	imageAffinityWeight = 4.0
	// headroomWeight outweighs idleCPUWeight: a task that takes headroom is slowed down
	// or moved once the load of the serving tasks rises, and one beside other filling
	// tasks is not.
	headroomWeight = 4.0
)

// score returns the score of a target; higher is better. scarce tells that few
// targets of the service are free of serving tasks.
func (p *pass) score(ts *TargetState, s *job.Step, scarce bool) float64 {
	score := dataLocalityScore(ts, s)
	switch {
	case s.Filling:
		score += idleCPUWeight*idleCPUScore(ts) + paceWeight*p.expectedPace(ts, s)
		if p.limits.AvoidDisturbance {
			score -= headroomWeight * p.headroomTaken(ts, s)
		}
	case s.Serves():
		score += packWeight*packScore(ts, s) + imageAffinityWeight*imageAffinityScore(ts, s, scarce)
	default:
		score += packWeight*packScore(ts, s) + servingWeight*servingScore(ts)
	}
	return score
}

func dataLocalityScore(ts *TargetState, s *job.Step) float64 {
	if s.DataRack != "" && ts.Rack == s.DataRack {
		return dataLocalityWeight
	}
	return 0
}

// idleCPUScore prefers the target with the most idle processor time.
func idleCPUScore(ts *TargetState) float64 {
	if ts.Capacity.CPUMilli == 0 {
		return 0
	}
	return float64(ts.idleCPU) / float64(ts.Capacity.CPUMilli)
}

// packScore prefers the target that the task fills up most, so that wide tasks
// find room elsewhere.
func packScore(ts *TargetState, s *job.Step) float64 {
	left := ts.free.Sub(s.Reserved())
	return 1 - left.DominantShare(ts.Capacity)
}

// servingScore prefers targets that already have serving tasks.
func servingScore(ts *TargetState) float64 {
	if len(ts.serving) == 0 {
		return 0
	}
	return 1
}

// imageAffinityScore prefers targets that serve only the task's image, then
// targets with several images, then empty ones, and last those where it would
// be the second image. Empty targets score lowest when they are scarce, because
// filling tasks that disturb most images need them.
func imageAffinityScore(ts *TargetState, s *job.Step, scarce bool) float64 {
	images := len(ts.serving)
	switch {
	case ts.serving[s.Image] > 0 && images == 1:
		return 1
	case ts.serving[s.Image] > 0:
		return 0.75
	case images > 1:
		return 0.5
	case images == 0 && scarce:
		return -0.5
	case images == 0:
		return 0.4
	default:
		return 0
	}
}

// nonServingTargetsScarce reports whether the share of startable targets of the
// service without serving tasks is at most NonServingTargetShare.
func (p *pass) nonServingTargetsScarce(service string) bool {
	targets, nonServing := 0, 0
	for _, ts := range p.targets {
		if !ts.startable || ts.suspended || ts.Service != service {
			continue
		}
		targets++
		if len(ts.serving) == 0 {
			nonServing++
		}
	}
	return float64(nonServing) <= p.limits.NonServingTargetShare*float64(targets)
}

// headroomTaken returns the headroom that the filling task at full pace is expected to take
// from the serving image that it disturbs most.
func (p *pass) headroomTaken(ts *TargetState, s *job.Step) float64 {
	taken := 0.0
	for image := range ts.serving {
		taken = max(taken, p.cautiousCoefficient(image, s.Image)*ts.cpuShare(s))
	}
	return taken
}
