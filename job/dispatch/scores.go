package dispatch

import "github.com/ibispier/ibispier/job"

// Weights of the scores. Data on another rack costs a multiple of the run time,
// so it outweighs everything else.
const (
	dataWeight = 10.0
	idleWeight = 1.0
	packWeight = 1.0
	paceWeight = 2.0
	// servingWeight keeps serving tasks on targets that serve already, so that
	// others are left on which filling tasks disturb nothing.
	servingWeight = 3.0
	// mixWeight keeps serving tasks of one image together. A filling image disturbs
	// about half of the serving images, so targets that serve one image suit it
	// far more often than targets that serve several.
	mixWeight = 4.0
)

// score is higher for a better target.
func (p *Pass) score(r *room, s *job.Step) float64 {
	score := dataScore(r, s)
	switch {
	case s.Filling:
		score += idleWeight*idleScore(r) + paceWeight*p.pace(r, s)
	case s.Serves():
		score += packWeight*packScore(r, s) + mixWeight*p.mixScore(r, s)
	default:
		score += packWeight*packScore(r, s) + servingWeight*servingScore(r)
	}
	return score
}

func dataScore(r *room, s *job.Step) float64 {
	if s.DataRack != "" && r.Rack == s.DataRack {
		return dataWeight
	}
	return 0
}

// idleScore prefers the target with the most idle processor time.
func idleScore(r *room) float64 {
	if r.Capacity.CPUMilli == 0 {
		return 0
	}
	return float64(r.idleCPU) / float64(r.Capacity.CPUMilli)
}

// packScore prefers the target on which the task leaves the least room, so that
// wide tasks find room elsewhere.
func packScore(r *room, s *job.Step) float64 {
	left := r.free.Sub(s.Reserved())
	return 1 - left.DominantShare(r.Capacity)
}

// servingScore prefers targets that serve already.
func servingScore(r *room) float64 {
	if len(r.serving) == 0 {
		return 0
	}
	return 1
}

// mixScore tells how little a serving task adds to the mix of images on the
// target: nothing where its image is served alone, little where several images
// are, and most where it would be the second image. The last targets without
// serving tasks are kept for filling tasks that disturb most images.
func (p *Pass) mixScore(r *room, s *job.Step) float64 {
	images := len(r.serving)
	switch {
	case r.serving[s.Image] > 0 && images == 1:
		return 1
	case r.serving[s.Image] > 0:
		return 0.75
	case images > 1:
		return 0.5
	case images == 0 && p.keepsQuiet(r):
		return -0.5
	case images == 0:
		return 0.4
	default:
		return 0
	}
}

// keepsQuiet reports whether the target is among the last ones of its service
// without serving tasks.
func (p *Pass) keepsQuiet(r *room) bool {
	targets, quiet := 0, 0
	for _, other := range p.rooms {
		if !other.Startable || other.Service != r.Service {
			continue
		}
		targets++
		if len(other.serving) == 0 {
			quiet++
		}
	}
	return float64(quiet) <= p.limits.NonServingTargetShare*float64(targets)
}
