// Package retry limits how often requests are retried: with a budget for each
// service, so that retries cannot multiply the load of a failing service, and
// with exponential backoff and full jitter, so that retries do not arrive at the
// same time.
package retry

import (
	"math/rand/v2"
	"time"
)

// Policy configures the retry budget of a service. The zero value is the
// default policy.
type Policy struct {
	// Ratio is the part of a retry that each first attempt adds to the budget, 0
	// to 1.
	Ratio float64
	// Capacity is the maximum number of retries in the budget. A higher one
	// covers longer faults, but multiplies the load of a service that fails for
	// longer still.
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
	// defaultRatio allows retries for a tenth of the first attempts.
	defaultRatio = 0.1
	// defaultCapacity is the default of Policy.Capacity, in retries.
	defaultCapacity = 10.0
	// baseDelay is the upper limit of the first delay; it doubles with each retry.
	baseDelay = 5 * time.Millisecond
	// maxDelay is the upper limit of every delay.
	maxDelay = 250 * time.Millisecond
)

// Budget is the retry budget of one service, a token bucket that first attempts
// fill. It is a value; the zero value is full.
type Budget struct {
	spent float64 // retries withdrawn and not yet covered by deposits
}

// Deposit returns the budget after a first attempt.
func (b Budget) Deposit(p Policy) Budget {
	return Budget{spent: max(b.spent-p.orDefault().Ratio, 0)}
}

// Withdraw returns the budget with one retry taken from it. It returns false and
// the budget unchanged when less than one retry is left.
func (b Budget) Withdraw(p Policy) (Budget, bool) {
	if b.spent+1 > p.orDefault().Capacity {
		return b, false
	}
	return Budget{spent: b.spent + 1}, true
}

// Delay draws the delay before a retry, uniformly between zero and a limit that
// doubles with each retry. Retries are numbered from one.
func Delay(retryNumber int, random *rand.Rand) time.Duration {
	limit := min(baseDelay<<min(retryNumber-1, 16), maxDelay)
	return time.Duration(random.Int64N(int64(limit)))
}
