package call

import (
	"math/rand/v2"
	"time"
)

const (
	// sheddingGain is the weight of one request in Service.Shedding: some
	// sixteen of the latest count.
	sheddingGain = 1.0 / 16
	// minAdvice is when a caller may come back to a service that turned only
	// this request away: a slot frees within a good half of a mean service time,
	// and the latency objective can still be met.
	minAdvice = 150 * time.Millisecond
	// maxAdvice is the same for a service that turns everything away. A crest
	// lasts seconds, and callers wait a third of what they have left at most.
	maxAdvice = 1200 * time.Millisecond
	// adviceJitter spreads callers that were refused together, as a part of
	// the advice to either side.
	adviceJitter = 0.3
)

// found notes whether a request found room at a backend server.
func (s *Service) found(room bool) {
	target := 1.0
	if room {
		target = 0
	}
	s.Shedding += (target - s.Shedding) * sheddingGain
}

// advice is when a caller whose request found no room may come back. The more
// of the latest requests were turned away, the longer the crest will last.
func (s *Service) advice(random *rand.Rand) time.Duration {
	mean := float64(minAdvice) + s.Shedding*float64(maxAdvice-minAdvice)
	return time.Duration(mean * (1 - adviceJitter + 2*adviceJitter*random.Float64()))
}
