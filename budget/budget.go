// Package budget limits retries and hedges to a ratio of the requests. It does no
// I/O and reads no clock.
package budget

// Budget is a token bucket: each request adds a fraction of a token and each
// extra attempt takes one.
//
// Invariant: Withdrawn() <= burst + ratio * (number of calls of Deposit).
type Budget struct {
	ratio     float64
	burst     float64
	tokens    float64
	withdrawn int
}

// New returns a budget that allows ratio extra attempts per request. It starts
// full and holds up to burst tokens, so that requests can be retried after a
// short fault even at a low request rate.
func New(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit adds the tokens of one request, scaled by health in 0..1: a service
// that refuses work for lack of capacity must not receive more attempts.
func (b *Budget) Deposit(health float64) {
	b.tokens = min(b.tokens+b.ratio*min(max(health, 0), 1), b.burst)
}

// TryWithdraw takes one token and reports whether one was available.
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
