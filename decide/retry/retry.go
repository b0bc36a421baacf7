// Package retry bounds how often requests are sent again: a budget for each
// service, so that retries cannot multiply the load of one that fails, and
// delays with full jitter, so that they do not come back together.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// ratio is the part of a retry that each first attempt pays in.
	ratio = 0.1
	// capacity bounds the retries saved up.
	capacity = 10.0
	// baseDelay is the bound of the first delay; it doubles each time.
	baseDelay = 5 * time.Millisecond
	// maxDelay bounds the delay.
	maxDelay = 250 * time.Millisecond
)

// Budget is the retries that may be made towards one service: a tenth of its
// first attempts, and a few saved up. It is a value; a new one is full.
type Budget struct {
	spent float64 // retries taken and not yet paid for
}

// Deposit returns the budget after a first attempt.
func (b Budget) Deposit() Budget { return Budget{spent: max(b.spent-ratio, 0)} }

// Withdraw returns the budget after a retry, and whether there was one left.
func (b Budget) Withdraw() (Budget, bool) {
	if b.spent+1 > capacity {
		return b, false
	}
	return Budget{spent: b.spent + 1}, true
}

// Delay draws the pause before retry n, counted from one: any time up to a
// bound that doubles with each retry.
func Delay(n int, random *rand.Rand) time.Duration {
	bound := min(baseDelay<<min(n-1, 16), maxDelay)
	return time.Duration(random.Int64N(int64(bound)))
}
