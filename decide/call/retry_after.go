package call

import (
	"math/rand/v2"
	"time"
)

const (
	// shedRatioWeight is the weight of one request in ServiceState.ShedRatio, a
	// moving average over about the last sixteen requests.
	shedRatioWeight = 1.0 / 16
	// minRetryAfter is the mean retry delay for a service that refused only
	// this request: a slot frees within a little over half of a mean service
	// time, and the caller can still meet its latency objective.
	minRetryAfter = 150 * time.Millisecond
	// maxRetryAfter is the mean retry delay for a service that refuses every
	// request. Load peaks last seconds, and callers wait at most a third of
	// their remaining time.
	maxRetryAfter = 1200 * time.Millisecond
	// retryAfterJitter is the largest deviation from the mean retry delay, as a
	// fraction of it. It spreads the retries of callers refused together.
	retryAfterJitter = 0.3
)

// recordCapacity counts into the shed ratio whether a backend server had
// capacity for a request.
func (s *ServiceState) recordCapacity(available bool) {
	target := 1.0
	if available {
		target = 0
	}
	s.ShedRatio += (target - s.ShedRatio) * shedRatioWeight
}

// retryAfter returns the retry delay for a caller whose request no backend
// server had capacity for. It grows with the shed ratio, because a service that
// refuses more of its requests stays overloaded for longer.
func (s *ServiceState) retryAfter(random *rand.Rand) time.Duration {
	mean := float64(minRetryAfter) + s.ShedRatio*float64(maxRetryAfter-minRetryAfter)
	return time.Duration(mean * (1 - retryAfterJitter + 2*retryAfterJitter*random.Float64()))
}
