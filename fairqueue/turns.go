package fairqueue

import (
	"cmp"
	"math"
	"slices"
)

// turnQuantum is the share of the pool by which an owner may pass the level of the next
// one within a turn. A turn costs a look at the targets, so turns of single tasks would
// make a decision about a long queue dear.
const turnQuantum = 0.01

// Contender is an owner with work that could use room now.
type Contender struct {
	Rank   int   // contenders of a lower rank are served first
	Order  int   // decides between contenders of one rank and level
	Pool   *Pool // shared by the contenders that compete; nil without a competitor
	Weight float64
	Held   Holding
}

// Level returns the level of the contender, or 0 if nobody competes with it.
func (c *Contender) Level() float64 {
	if c.Pool == nil {
		return 0
	}
	return c.Pool.Level(c.Held, c.Weight)
}

// CompetesWith reports whether room for one contender is taken from the other at an
// equal rank.
func (c *Contender) CompetesWith(other *Contender) bool {
	return c != other && c.Pool != nil && c.Pool == other.Pool && c.Rank == other.Rank
}

// Turns decides which contender is served next. A contender stays until the caller
// removes it because it has no work left that fits, so the room that one cannot use is
// lent to the others.
type Turns struct{ contenders []*Contender }

// NewTurns returns the turns of the contenders.
func NewTurns(contenders []*Contender) *Turns {
	return &Turns{contenders: slices.Clone(contenders)}
}

// Next returns the contender to serve, or nil if none is left.
func (t *Turns) Next() *Contender {
	if len(t.contenders) == 0 {
		return nil
	}
	return slices.MinFunc(t.contenders, func(x, y *Contender) int {
		return cmp.Or(cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.Level(), y.Level()), cmp.Compare(x.Order, y.Order))
	})
}

// Limit returns the level above which the contender gets nothing more in this turn.
func (t *Turns) Limit(c *Contender) float64 {
	limit := math.Inf(1)
	for _, other := range t.contenders {
		if c.CompetesWith(other) {
			limit = min(limit, other.Level()+turnQuantum/c.Weight)
		}
	}
	return limit
}

// Remove removes a contender that has no work left that fits.
func (t *Turns) Remove(c *Contender) {
	t.contenders = slices.DeleteFunc(t.contenders, func(other *Contender) bool { return other == c })
}

// DueShares returns the share that is due to each owner of a group of one rank: what the
// group holds together, divided by weight. Owners that neither hold nor want room must
// not be in the group.
func DueShares(held, weights []float64) []float64 {
	total, weight := 0.0, 0.0
	for i := range held {
		total += held[i]
		weight += weights[i]
	}
	due := make([]float64, len(held))
	for i := range due {
		due[i] = total * weights[i] / weight
	}
	return due
}
