// Package hedge decides when a slow lookup is sent to a second backend server:
// after the time that 98 lookups in 100 take, learned from recent
// answers, and within a budget of extra load.
package hedge

import "time"

const (
	// ratio is the part of a hedge that each lookup pays in: the bound on
	// extra load.
	ratio = 0.045
	// capacity bounds the hedges saved up.
	capacity = 10.0
	// quantile is the part of the lookups that end before a hedge.
	quantile = 0.98
	// gain is the step of the estimate, as a part of it.
	gain = 0.08
	// minSamples is the number of answers before the first hedge.
	minSamples = 20
	// minDelay bounds the delay from below.
	minDelay = time.Millisecond
)

// State is what was learned of one service's lookups. It is a value; the zero
// value hedges nothing.
type State struct {
	delay   time.Duration
	samples int
	saved   float64
}

// Observe returns the state after an answer that took so long.
func (s State) Observe(took time.Duration) State {
	if s.samples == 0 {
		s.delay = 2 * took
	}
	s.samples = min(s.samples+1, minSamples)
	if took > s.delay {
		s.delay += time.Duration(gain * quantile * float64(s.delay))
	} else {
		s.delay -= time.Duration(gain * (1 - quantile) * float64(s.delay))
	}
	s.delay = max(s.delay, minDelay)
	return s
}

// Deposit returns the state after a lookup's first attempt.
func (s State) Deposit() State {
	s.saved = min(s.saved+ratio, capacity)
	return s
}

// Delay returns how long to wait before a hedge, and false while too little is
// known.
func (s State) Delay() (time.Duration, bool) { return s.delay, s.samples >= minSamples }

// Withdraw returns the state after a hedge, and whether the budget allows it.
func (s State) Withdraw() (State, bool) {
	if s.saved < 1 {
		return s, false
	}
	s.saved--
	return s, true
}
