// Package budget bounds extra attempts to a share of the requests. It is pure.
package budget

// Budget is a token bucket that requests fill and extra attempts drain.
//
// Invariant: Spent() <= burst + share * (number of calls of Earn).
type Budget struct {
	ratio     float64
	burst     float64
	tokens    float64
	withdrawn int
}

// New returns a budget that allows extra attempts for a share of the requests.
// It starts full and saves up to burst, so that a short fault can be retried at
// a low rate of requests.
func New(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit counts one request. health in 0..1 scales what it adds: a service that
// refuses work for lack of capacity must not get more attempts.
func (b *Budget) Deposit(health float64) {
	b.tokens = min(b.tokens+b.ratio*min(max(health, 0), 1), b.burst)
}

// TryWithdraw takes one extra attempt and reports whether the budget allows it.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.withdrawn++
	return true
}

// Withdrawn returns the number of extra attempts that were allowed.
func (b *Budget) Withdrawn() int { return b.withdrawn }
