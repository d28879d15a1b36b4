package dispatch

import "github.com/ibispier/ibispier/job"

// Weights of the scores. Data on another rack costs a multiple of the run time,
// so it outweighs everything else.
const (
	dataWeight = 10.0
	idleWeight = 1.0
	packWeight = 1.0
	tailWeight = 1.0
	// sameWeight keeps serving tasks of one image together, so that more targets
	// suit a filling image that disturbs only some serving images.
	sameWeight = 2.0
)

// score is higher for a better target.
func (p *Pass) score(r *room, s *job.Step) float64 {
	score := dataScore(r, s)
	switch {
	case s.Filling:
		score += idleWeight*idleScore(r) - tailWeight*p.worstTail(r, s)
	case s.Serves():
		score += idleWeight*idleScore(r) + sameWeight*sameScore(r, s)
	default:
		score += packWeight * packScore(r, s)
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

// sameScore is the share of the serving tasks that have the same image.
func sameScore(r *room, s *job.Step) float64 {
	total := 0
	for _, count := range r.serving {
		total += count
	}
	if total == 0 {
		return 0
	}
	return float64(r.serving[s.Image]) / float64(total)
}
