// Package retry bounds how often requests are sent again: a budget for each
// service, so that retries cannot multiply the load of one that fails, and
// delays with full jitter, so that they do not come back together.
package retry

import (
	"math/rand/v2"
	"time"
)

// Policy bounds the retries of a service. The zero value is the default.
type Policy struct {
	// Ratio is the part of a retry that each first attempt pays in, 0 to 1.
	Ratio float64
	// Capacity bounds the retries saved up. More rides out a longer fault and
	// multiplies the load of one that lasts.
	Capacity float64
}

// orDefault returns the policy, or the default in place of the zero value.
func (p Policy) orDefault() Policy {
	if p == (Policy{}) {
		return Policy{Ratio: defaultRatio, Capacity: defaultCapacity}
	}
	return p
}

const (
	// defaultRatio lets a tenth of the first attempts be retried.
	defaultRatio = 0.1
	// defaultCapacity is the retries saved up.
	defaultCapacity = 10.0
	// baseDelay is the bound of the first delay; it doubles each time.
	baseDelay = 5 * time.Millisecond
	// maxDelay bounds the delay.
	maxDelay = 250 * time.Millisecond
)

// Budget is the retries that may be made towards one service: a part of its
// first attempts, and a few saved up. It is a value; a new one is full.
type Budget struct {
	spent float64 // retries taken and not yet paid for
}

// Deposit returns the budget after a first attempt.
func (b Budget) Deposit(p Policy) Budget {
	return Budget{spent: max(b.spent-p.orDefault().Ratio, 0)}
}

// Withdraw returns the budget after a retry, and whether there was one left.
func (b Budget) Withdraw(p Policy) (Budget, bool) {
	if b.spent+1 > p.orDefault().Capacity {
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
