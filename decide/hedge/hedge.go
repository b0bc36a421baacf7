// Package hedge decides when a slow lookup is also sent to a second backend
// server: after the 98th percentile of the latency, estimated from recent
// responses, and within a budget that limits the extra load.
package hedge

import "time"

const (
	// budgetPerLookup is the part of a hedge that each lookup adds to the
	// budget. It limits the extra load in the long run to 4.5 %.
	budgetPerLookup = 0.045
	// budgetCapacity is the maximum number of hedges in the budget.
	budgetCapacity = 10.0
	// quantile is the fraction of the lookups that end before their hedge is
	// due.
	quantile = 0.98
	// stepRatio is the step of the estimate, relative to it.
	stepRatio = 0.08
	// minSamples is the number of responses before the first hedge.
	minSamples = 20
	// minDelay is the lower limit of the delay.
	minDelay = time.Millisecond
)

// State holds the hedging delay and budget of one service's lookups. It is a
// value; the zero value has an empty budget and too few samples for a hedge.
type State struct {
	delay   time.Duration
	samples int     // number of responses, up to minSamples
	budget  float64 // hedges available
}

// Observe returns the state after a response with the given latency.
func (s State) Observe(latency time.Duration) State {
	if s.samples == 0 {
		s.delay = 2 * latency
	}
	s.samples = min(s.samples+1, minSamples)
	if latency > s.delay {
		s.delay += time.Duration(stepRatio * quantile * float64(s.delay))
	} else {
		s.delay -= time.Duration(stepRatio * (1 - quantile) * float64(s.delay))
	}
	s.delay = max(s.delay, minDelay)
	return s
}

// Deposit returns the state with the budget for one more lookup added.
func (s State) Deposit() State {
	s.budget = min(s.budget+budgetPerLookup, budgetCapacity)
	return s
}

// Delay returns the time from the first attempt to a hedge. It returns false
// while there are too few samples.
func (s State) Delay() (time.Duration, bool) { return s.delay, s.samples >= minSamples }

// Withdraw returns the state with one hedge taken from the budget. It returns
// false and the state unchanged when the budget is used up.
func (s State) Withdraw() (State, bool) {
	if s.budget < 1 {
		return s, false
	}
	s.budget--
	return s, true
}
