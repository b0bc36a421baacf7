// Package drain holds the state of a planned stop: of a backend server, which
// takes no new work, and of its node, which ends once nothing is under way.
package drain

import "time"

const (
	// Grace is how long a stopping node goes on refusing truthfully, so that
	// every other one learns that it leaves.
	Grace = 2 * time.Second
	// callersGrace is how long a stopping node that will be killed goes on
	// serving its callers: two checks of its readiness a second apart send new
	// ones elsewhere, and half a second lets the second one arrive.
	callersGrace = 2500 * time.Millisecond
	// lastMoment is how long before it is killed a node ends by itself, so that
	// connections end and are not left open.
	lastMoment = 300 * time.Millisecond
	// tellInterval is how often a stopping node says what it waits for.
	tellInterval = 5 * time.Second
	// lookInterval is how often it looks whether something is under way.
	lookInterval = 100 * time.Millisecond
)

// State says whether the backend server is leaving. It is a value.
type State struct {
	// Draining is true once it takes no new work.
	Draining bool
	// Stopping is true once the node itself ends when nothing is under way.
	Stopping bool
	// Since is when the drain began.
	Since time.Time
	// Overdue is true once a stop has lasted longer than its limit. It goes on
	// waiting: nothing is cut.
	Overdue bool
	// Told is when it was last said what the stop waits for.
	Told time.Time
	// Done is true once a stopping node may end.
	Done bool
	// KilledAt is when the process is killed whatever it does; zero for never.
	KilledAt time.Time
}

// Stop returns the state of a node that was asked to end.
func (s State) Stop(now time.Time) State {
	if s.Stopping {
		return s
	}
	return State{Draining: true, Stopping: true, Since: now}
}

// KilledAfter returns the state of a stopping node that is killed so long after
// the stop began; zero for never.
func (s State) KilledAfter(within time.Duration) State {
	if within > 0 {
		s.KilledAt = s.Since.Add(within)
	}
	return s
}

// RefusesCallers reports whether a stopping node takes no more requests of its
// callers. Callers who use open connections go on until the process is gone,
// so one that is killed after a time refuses in time to let the last of them
// end; one that is not killed takes all and ends between them.
func (s State) RefusesCallers(now time.Time) bool {
	return s.Stopping && !s.KilledAt.IsZero() && now.Sub(s.Since) >= callersGrace
}

// Left is how long a node that is killed may still take to end; false when it
// may take as long as it needs.
func (s State) Left(now time.Time) (time.Duration, bool) {
	if s.KilledAt.IsZero() {
		return 0, false
	}
	return max(s.KilledAt.Add(-lastMoment).Sub(now), lastMoment/2), true
}

// Underway counts what a stop waits for.
type Underway struct {
	// Calls is the number of callers' requests at the node.
	Calls int
	// Admitted is the number of requests at the own backend server.
	Admitted int
}

// Advance returns the state now, and when to look again; zero for only when
// something changes.
func (s State) Advance(now time.Time, u Underway, limit time.Duration) (State, time.Duration) {
	if !s.Stopping || s.Done {
		return s, 0
	}
	waited := now.Sub(s.Since)
	if now.Sub(s.Told) >= tellInterval {
		s.Told = now
	}
	grace := Grace
	if !s.KilledAt.IsZero() {
		grace = callersGrace // until callers are refused, one more may come at any moment
	}
	if waited < grace {
		return s, min(grace-waited, lookInterval)
	}
	killed := !s.KilledAt.IsZero() && !now.Before(s.KilledAt.Add(-lastMoment))
	if u == (Underway{}) || killed {
		s.Done = true
		return s, 0
	}
	if !s.Overdue && waited >= limit {
		s.Overdue, s.Told = true, now
	}
	return s, lookInterval
}
