package admit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// meanWeightDivisor gives one observation a weight of 1/8 in the moving
	// mean.
	meanWeightDivisor = 8
	// p10DecreaseRatio and p10IncreaseRatio are the steps of the estimate when
	// a request was faster or not. Nine to one balances where one request in
	// ten is faster, the 10th percentile.
	p10DecreaseRatio = 0.09
	p10IncreaseRatio = 0.01
	// p80DecreaseRatio and p80IncreaseRatio are the steps of the estimate when a
	// request was faster or not; one to four, for the 80th percentile.
	p80DecreaseRatio = 0.01
	p80IncreaseRatio = 0.04
)

// ServiceTimes holds statistics of how long the requests of each class hold a
// slot, and how many fail. It is a value; the zero value has no observations.
type ServiceTimes struct {
	mean [mesh.NumClasses]time.Duration
	p10  [mesh.NumClasses]time.Duration
	p80  [mesh.NumClasses]time.Duration
	// failureRatio is a moving average of the requests that failed, 0 to 1.
	failureRatio float64
}

// failureRatioWeight is the weight of one request in the failure ratio.
const failureRatioWeight = 1.0 / 16

// ObserveOutcome returns the statistics with the outcome of one more request
// counted in the failure ratio.
func (s ServiceTimes) ObserveOutcome(failed bool) ServiceTimes {
	target := 0.0
	if failed {
		target = 1
	}
	s.failureRatio += (target - s.failureRatio) * failureRatioWeight
	return s
}

// FailurePercent returns the failure ratio in percent, 0 to 100.
func (s ServiceTimes) FailurePercent() int { return int(s.failureRatio*100 + 0.5) }

// ObserveDuration returns the statistics with the service time of one more
// request of the class counted in.
func (s ServiceTimes) ObserveDuration(c mesh.Class, took time.Duration) ServiceTimes {
	i := c.Index()
	if s.mean[i] == 0 {
		s.mean[i] = took
		s.p10[i] = took / 2
		s.p80[i] = took
		return s
	}
	s.mean[i] += (took - s.mean[i]) / meanWeightDivisor
	if took < s.p10[i] {
		s.p10[i] -= time.Duration(p10DecreaseRatio * float64(s.p10[i]))
	} else {
		s.p10[i] += time.Duration(p10IncreaseRatio * float64(s.p10[i]))
	}
	if took < s.p80[i] {
		s.p80[i] -= time.Duration(p80DecreaseRatio * float64(s.p80[i]))
	} else {
		s.p80[i] += time.Duration(p80IncreaseRatio * float64(s.p80[i]))
	}
	return s
}

// Mean returns the mean service time of the class; zero without observations.
func (s ServiceTimes) Mean(c mesh.Class) time.Duration { return s.mean[c.Index()] }

// P10 returns the 10th percentile of the service time of the class; zero
// without observations. A request with less time left than that is refused.
func (s ServiceTimes) P10(c mesh.Class) time.Duration { return s.p10[c.Index()] }

// P80 returns the 80th percentile of the service time of the class; zero
// without observations. A request waits for a slot only if it would meet its
// objective with that service time.
func (s ServiceTimes) P80(c mesh.Class) time.Duration { return s.p80[c.Index()] }
