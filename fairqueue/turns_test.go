package fairqueue

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/resource"
)

// demand is an owner that wants a number of equal tasks in TestTurns.
type demand struct {
	*Contender
	size   Holding
	left   int
	before Holding
}

func drawDemands(t *rapid.T, pool *Pool) []*demand {
	demands := make([]*demand, rapid.IntRange(2, 5).Draw(t, "owners"))
	for i := range demands {
		size := Holding{Reserved: resource.Vector{CPUMilli: 100 << rapid.IntRange(0, 7).Draw(t, "cpu"), MemoryMiB: 100}}
		held := Holding{Reserved: resource.Vector{CPUMilli: int64(rapid.IntRange(0, 20_000).Draw(t, "held"))}}
		c := &Contender{
			Rank: 2 * rapid.IntRange(0, 1).Draw(t, "rank"), Order: i, Pool: pool,
			Weight: rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "weight"), Held: held,
		}
		demands[i] = &demand{c, size, rapid.IntRange(0, 200).Draw(t, "tasks"), held}
	}
	return demands
}

// serve hands out the free room in turns and returns what is left of it.
func serve(demands []*demand, free resource.Vector) resource.Vector {
	byContender := map[*Contender]*demand{}
	var contenders []*Contender
	for _, d := range demands {
		byContender[d.Contender] = d
		contenders = append(contenders, d.Contender)
	}
	turns := NewTurns(contenders)
	for c := turns.Next(); c != nil; c = turns.Next() {
		d, limit := byContender[c], turns.Limit(c)
		for d.left > 0 && d.size.Reserved.FitsIn(free) && c.Level() <= limit {
			free = free.Sub(d.size.Reserved)
			c.Held = c.Held.Add(d.size)
			d.left--
		}
		if d.left == 0 || !d.size.Reserved.FitsIn(free) {
			turns.Remove(c)
		}
	}
	return free
}

// Guards against an owner that is served above its share while another of its rank, below
// its own, has work that fits; against room that stays empty beside work that fits; and
// against a higher rank that waits for a lower one.
func TestTurnsServeTheLowestLevelFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := &Pool{Capacity: resource.Vector{CPUMilli: 100_000, MemoryMiB: 1_000_000}}
		demands := drawDemands(t, pool)
		free := serve(demands, resource.Vector{CPUMilli: int64(rapid.IntRange(0, 60_000).Draw(t, "free")), MemoryMiB: 1_000_000})
		for _, waiting := range demands {
			if waiting.left == 0 {
				continue
			}
			if waiting.size.Reserved.FitsIn(free) {
				t.Fatalf("task of %v waits beside free room of %v", waiting.size.Reserved, free)
			}
			for _, other := range demands {
				step := pool.Level(other.size, other.Weight) + turnQuantum/other.Weight
				served := other.Held != other.before
				fitted := waiting.size.Reserved.CPUMilli <= other.size.Reserved.CPUMilli // it would have fitted instead
				if other.Rank > waiting.Rank && served && fitted {
					t.Fatalf("rank %d was served while rank %d waits", other.Rank, waiting.Rank)
				}
				if other.Rank == waiting.Rank && served && fitted && other.Level() > waiting.Level()+step+1e-9 {
					t.Fatalf("served up to level %g while one at %g waits, a turn takes %g", other.Level(), waiting.Level(), step)
				}
			}
		}
	})
}

// Guards against a weight that takes room from its owner when it is raised.
func TestTurnsAreMonotoneInTheWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := &Pool{Capacity: resource.Vector{CPUMilli: 100_000}}
		size := Holding{Reserved: resource.Vector{CPUMilli: 100}}
		owners := rapid.IntRange(2, 4).Draw(t, "owners")
		free := resource.Vector{CPUMilli: int64(rapid.IntRange(0, 100_000).Draw(t, "free"))}
		weight := rapid.Float64Range(0.2, 5).Draw(t, "weight")
		held := func(weight float64) int64 {
			demands := make([]*demand, owners)
			for i := range demands {
				demands[i] = &demand{Contender: &Contender{Order: i, Pool: pool, Weight: 1}, size: size, left: 1000}
			}
			demands[0].Weight = weight
			serve(demands, free)
			return demands[0].Held.Reserved.CPUMilli
		}
		// The owner that is served last may be one turn short of the others.
		slack := int64(turnQuantum*float64(pool.Capacity.CPUMilli)*float64(owners)) + size.Reserved.CPUMilli
		low, high := held(weight), held(weight*rapid.Float64Range(1, 4).Draw(t, "factor"))
		if high+slack < low {
			t.Fatalf("%d millicores with the weight %g, %d with a larger one", low, weight, high)
		}
	})
}

// Guards against filling tasks that count for nothing because they reserve no processor
// time, and against a share that has no bound while other work leaves nothing idle.
func TestFillingTasksCountAgainstTheIdleTime(t *testing.T) {
	pool := Pool{Capacity: resource.Vector{CPUMilli: 100_000, MemoryMiB: 100_000}, FillingMilli: 40_000}
	held := Holding{Reserved: resource.Vector{MemoryMiB: 1000}, FillingMilli: 10_000}
	if got := pool.Share(held); got != 0.25 {
		t.Errorf("share %g of the idle time, want 0.25", got)
	}
	pool.FillingMilli = -5
	if got := pool.Share(held); got != 2 {
		t.Errorf("share %g without idle time, want 2", got)
	}
	if got := (Pool{}).Share(held); got != 0 {
		t.Errorf("share %g of no room, want 0", got)
	}
}
