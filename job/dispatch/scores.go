package dispatch

import "github.com/ibispier/ibispier/job"

// Weights of the scores. Data on another rack costs a multiple of the run time,
// so it outweighs everything else.
const (
	dataLocalityWeight = 10.0
	idleCPUWeight      = 1.0
	packWeight         = 1.0
	paceWeight         = 2.0
	// servingWeight keeps serving tasks on targets that serve already, so that
	// others are left on which filling tasks disturb nothing.
	servingWeight = 3.0
	// mixWeight keeps serving tasks of one image together. A filling image disturbs
	// about half of the serving images, so targets that serve one image suit it
	// far more often than targets that serve several.
	imageAffinityWeight = 4.0
)

// score is higher for a better target.
func (p *Pass) score(ts *targetState, s *job.Step) float64 {
	score := dataLocalityScore(ts, s)
	switch {
	case s.Filling:
		score += idleCPUWeight*idleCPUScore(ts) + paceWeight*p.expectedPace(ts, s)
	case s.Serves():
		score += packWeight*packScore(ts, s) + imageAffinityWeight*p.imageAffinityScore(ts, s)
	default:
		score += packWeight*packScore(ts, s) + servingWeight*servingScore(ts)
	}
	return score
}

func dataLocalityScore(ts *targetState, s *job.Step) float64 {
	if s.DataRack != "" && ts.Rack == s.DataRack {
		return dataLocalityWeight
	}
	return 0
}

// idleScore prefers the target with the most idle processor time.
func idleCPUScore(ts *targetState) float64 {
	if ts.Capacity.CPUMilli == 0 {
		return 0
	}
	return float64(ts.idleCPU) / float64(ts.Capacity.CPUMilli)
}

// packScore prefers the target on which the task leaves the least room, so that
// wide tasks find room elsewhere.
func packScore(ts *targetState, s *job.Step) float64 {
	left := ts.free.Sub(s.Reserved())
	return 1 - left.DominantShare(ts.Capacity)
}

// servingScore prefers targets that serve already.
func servingScore(ts *targetState) float64 {
	if len(ts.serving) == 0 {
		return 0
	}
	return 1
}

// mixScore tells how little a serving task adds to the mix of images on the
// target: nothing where its image is served alone, little where several images
// are, and most where it would be the second image. The last targets without
// serving tasks are kept for filling tasks that disturb most images.
func (p *Pass) imageAffinityScore(ts *targetState, s *job.Step) float64 {
	images := len(ts.serving)
	switch {
	case ts.serving[s.Image] > 0 && images == 1:
		return 1
	case ts.serving[s.Image] > 0:
		return 0.75
	case images > 1:
		return 0.5
	case images == 0 && p.nonServingTargetsScarce(ts):
		return -0.5
	case images == 0:
		return 0.4
	default:
		return 0
	}
}

// keepsQuiet reports whether the target is among the last ones of its service
// without serving tasks.
func (p *Pass) nonServingTargetsScarce(ts *targetState) bool {
	targets, nonServing := 0, 0
	for _, other := range p.targets {
		if !other.Startable || other.Service != ts.Service {
			continue
		}
		targets++
		if len(other.serving) == 0 {
			nonServing++
		}
	}
	return float64(nonServing) <= p.limits.NonServingTargetShare*float64(targets)
}
