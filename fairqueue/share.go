package fairqueue

import "github.com/ibispier/ibispier/resource"

// minFillingShare is the part of the processor time of a pool that counts as its room
// for filling tasks at least. Without it, one filling task would hold many times the
// pool while other work leaves hardly any processor time idle.
const minFillingShare = 0.05

// Holding is what an owner, such as a customer or a queue of jobs, has in use of a pool.
type Holding struct {
	Reserved     resource.Vector
	FillingMilli int64 // millicores requested by filling tasks, which reserve none
}

// Add returns h + other.
func (h Holding) Add(other Holding) Holding {
	return Holding{h.Reserved.Add(other.Reserved), h.FillingMilli + other.FillingMilli}
}

// Sub returns h - other.
func (h Holding) Sub(other Holding) Holding {
	return Holding{h.Reserved.Sub(other.Reserved), h.FillingMilli - other.FillingMilli}
}

// Pool is the room that owners compete for.
type Pool struct {
	Capacity     resource.Vector
	FillingMilli int64 // millicores that other work leaves to filling tasks, used or not
}

// Share returns the dominant share of the pool that the holding takes. The processor
// time of filling tasks is measured against what other work leaves to them.
func (p Pool) Share(h Holding) float64 {
	share := h.Reserved.DominantShare(p.Capacity)
	room := max(float64(p.FillingMilli), minFillingShare*float64(p.Capacity.CPUMilli))
	if h.FillingMilli > 0 && room > 0 {
		share = max(share, float64(h.FillingMilli)/room)
	}
	return share
}

// Level returns the share of an owner in relation to its weight. Of the owners that
// compete, the one with the lowest level is the furthest below its share.
func (p Pool) Level(h Holding, weight float64) float64 { return p.Share(h) / weight }
