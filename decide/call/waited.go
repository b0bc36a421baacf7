package call

import (
	"cmp"
	"iter"
	"time"
)

const (
	// firstTryRatio is the smallest deadline of a caller's first try, as a
	// fraction of the usual deadline of its route. Callers of one route differ a
	// little in how long they wait.
	firstTryRatio = 0.85
	// usualDeadlineRise and usualDeadlineFall are the steps by which the usual
	// deadline follows the callers' deadlines, as fractions of it. Seven to one
	// balances where one caller in eight waits longer, so that first tries set it
	// even while most requests are repeated ones.
	usualDeadlineRise = 0.07
	usualDeadlineFall = 0.01
)

const (
	// nestedTolerance is how far the deadlines of a call and of the run that
	// makes it can be apart: the backend server passes on what is left of its own
	// deadline in whole milliseconds.
	nestedTolerance = 3 * time.Millisecond
	// nestedRatioWeight is the weight of one request in RouteState.NestedRatio.
	nestedRatioWeight = 1.0 / 16
	// minNestedRatio is the ratio from which the requests of a route count as
	// calls. Callers' own requests match a run only by chance, calls nearly always.
	minNestedRatio = 0.6
)

// RouteState is the state that this node keeps about one route. It is a value.
type RouteState struct {
	// UsualDeadline is the time that callers wait for the route when they try
	// for the first time; zero without observations.
	UsualDeadline time.Duration
	// NestedRatio is a moving average of the requests that have the deadline of
	// a request which the own backend server is running, 0 to 1.
	NestedRatio float64
}

// IsNested reports whether the requests of the route are calls that the own
// backend server makes while it runs requests.
func (s RouteState) IsNested() bool { return s.NestedRatio >= minNestedRatio }

// RunningRequest is a request that the own backend server is running.
type RunningRequest struct {
	// CallerID is the caller's ID of the request.
	CallerID                  string
	Deadline                  time.Time
	AccountPriority, Priority int
}

// before reports whether the request has a higher rank than other.
func (r RunningRequest) before(other RunningRequest) bool {
	return cmp.Or(cmp.Compare(r.AccountPriority, other.AccountPriority), cmp.Compare(r.Priority, other.Priority)) < 0
}

// findParent returns the running request that makes a call, or nil. The call names
// its ID (isNamed) and ends before it, or has its deadline: of several with the same
// deadline it is the one with the highest rank, because a call must not fall behind
// the work that waits for it.
func findParent(id string, call time.Time, running iter.Seq[RunningRequest]) (parent *RunningRequest, isNamed bool) {
	if running == nil {
		return nil, false
	}
	for r := range running {
		if id != "" && r.CallerID == id && call.Sub(r.Deadline) <= nestedTolerance {
			return &r, true
		}
		if call.Sub(r.Deadline).Abs() <= nestedTolerance && (parent == nil || r.before(*parent)) {
			match := r // only a match is allocated
			parent = &match
		}
	}
	return parent, false
}

// Observe returns the state after a request whose caller waits for remaining.
// nested is whether that is the deadline of a request which the own backend
// server is running.
func (s RouteState) Observe(remaining time.Duration, nested bool) RouteState {
	target := 0.0
	if nested {
		target = 1
	}
	s.NestedRatio += (target - s.NestedRatio) * nestedRatioWeight
	switch {
	case remaining <= 0:
	case s.UsualDeadline == 0:
		s.UsualDeadline = remaining
	case remaining > s.UsualDeadline:
		s.UsualDeadline = min(s.UsualDeadline+fraction(s.UsualDeadline, usualDeadlineRise), remaining)
	case remaining < s.UsualDeadline:
		s.UsualDeadline = max(s.UsualDeadline-fraction(s.UsualDeadline, usualDeadlineFall), remaining)
	}
	return s
}

// WaitedBefore estimates how long a caller that still waits for remaining has
// waited before this try. A caller repeats a refused request under a new ID, and
// its deadline shrinks with each try; nothing else tells a repeated request from
// a first one. The result is zero for a first try, and for calls, whose deadlines
// are those of the requests that they are made for.
func (s RouteState) WaitedBefore(remaining time.Duration) time.Duration {
	if s.IsNested() || remaining <= 0 || remaining >= fraction(s.UsualDeadline, firstTryRatio) {
		return 0
	}
	return s.UsualDeadline - remaining
}

func fraction(d time.Duration, ratio float64) time.Duration {
	return time.Duration(ratio * float64(d))
}
