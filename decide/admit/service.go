package admit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// meanGain is the weight of one observation in the mean.
	meanGain = 8
	// fastShrink and fastGrow set the low quantile that Fast follows: it
	// rests where one request in ten is faster.
	fastShrink = 0.09
	fastGrow   = 0.01
)

// ServiceTimes is what was learned of how long the requests of each class hold
// a slot. It is a value; the zero value knows nothing.
type ServiceTimes struct {
	mean [mesh.NumClasses]time.Duration
	fast [mesh.NumClasses]time.Duration
	// failing is the part of the latest requests that failed, 0 to 1.
	failing float64
}

// failingGain is the weight of one request in the part that fails.
const failingGain = 1.0 / 16

// Ended returns the times with how one more request ended counted in.
func (s ServiceTimes) Ended(failed bool) ServiceTimes {
	target := 0.0
	if failed {
		target = 1
	}
	s.failing += (target - s.failing) * failingGain
	return s
}

// Failing returns how many in 100 of the latest requests failed.
func (s ServiceTimes) Failing() int { return int(s.failing*100 + 0.5) }

// Observe returns the times with one more request counted in.
func (s ServiceTimes) Observe(c mesh.Class, took time.Duration) ServiceTimes {
	i := c.Index()
	if s.mean[i] == 0 {
		s.mean[i] = took
		s.fast[i] = took / 2
		return s
	}
	s.mean[i] += (took - s.mean[i]) / meanGain
	if took < s.fast[i] {
		s.fast[i] -= time.Duration(fastShrink * float64(s.fast[i]))
	} else {
		s.fast[i] += time.Duration(fastGrow * float64(s.fast[i]))
	}
	return s
}

// Mean returns the mean time, zero while nothing is known.
func (s ServiceTimes) Mean(c mesh.Class) time.Duration { return s.mean[c.Index()] }

// Fast returns the time that nine requests in ten exceed, zero while nothing
// is known. A request with less time left is refused.
func (s ServiceTimes) Fast(c mesh.Class) time.Duration { return s.fast[c.Index()] }
