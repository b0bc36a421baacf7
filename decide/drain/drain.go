// Package drain holds the state machine of a planned stop: the drain of the
// backend server, which takes no new requests, and the stop of its node, which
// ends once no request is in flight.
package drain

import "time"

const (
	// LeaveGrace is how long a stopping node still answers with refusals, so
	// that every other node learns that it is leaving.
	LeaveGrace = 2 * time.Second
	// callersGrace is how long a stopping node that will be killed still
	// accepts callers' requests: two readiness checks, one second apart, send
	// new callers elsewhere, and half a second lets the second check arrive.
	callersGrace = 2500 * time.Millisecond
	// answerMargin is how long before it ends a node answers its last requests.
	answerMargin = 100 * time.Millisecond
	// killMargin is how long before its kill time a node ends by itself, so
	// that its connections are closed and not left open.
	killMargin = 300 * time.Millisecond
	// progressInterval is how often a stopping node logs what it waits for.
	progressInterval = 5 * time.Second
	// checkInterval is how often it checks for requests in flight.
	checkInterval = 100 * time.Millisecond
)

// State is the state of a drain or stop. It is a value; in the zero value the
// backend server takes requests.
type State struct {
	// Draining is true while the backend server takes no new requests.
	Draining bool
	// Temporary is true if it is expected to take them again in a moment: a connection
	// to it failed.
	Temporary bool
	// Stopping is true once the node itself is to end when no request is in
	// flight.
	Stopping bool
	// Since is when the drain began.
	Since time.Time
	// Overdue is true once a stop has lasted longer than its limit. The node
	// still waits and aborts no request.
	Overdue bool
	// ProgressLoggedAt is when the node last logged what the stop waits for.
	ProgressLoggedAt time.Time
	// Done is true once a stopping node can end.
	Done bool
	// KillAt is when the process will be killed even if requests are in flight;
	// zero for never.
	KillAt time.Time
}

// Stop returns the state of a node that begins to stop. It has no effect on a
// node that is stopping already.
func (s State) Stop(now time.Time) State {
	if s.Stopping {
		return s
	}
	return State{Draining: true, Stopping: true, Since: now}
}

// IsLeaving reports whether a request that has a slot and was not sent yet must not be
// sent any more.
func (s State) IsLeaving() bool { return s.Draining && !s.Temporary }

// WithKillAfter returns the state of a stopping node that is killed the given
// time after the stop began; zero for never.
func (s State) WithKillAfter(within time.Duration) State {
	if within > 0 {
		s.KillAt = s.Since.Add(within)
	}
	return s
}

// RefusesCallers reports whether a stopping node refuses new requests of its
// callers. Callers keep sending on open connections until the process ends. A
// node that will be killed therefore refuses early enough for the last requests
// to end; one that will not be killed accepts all and ends when none is in
// flight.
func (s State) RefusesCallers(now time.Time) bool {
	return s.Stopping && !s.KillAt.IsZero() && now.Sub(s.Since) >= s.callersGrace()
}

// callersGrace returns how long a stopping node that will be killed accepts
// callers' requests. At least half of its time is left for them to end.
func (s State) callersGrace() time.Duration { return min(callersGrace, s.KillAt.Sub(s.Since)/2) }

// AnswersDue returns when the node answers the requests that it has accepted since
// the stop began, at the latest; zero for no limit.
func (s State) AnswersDue() time.Time {
	if s.KillAt.IsZero() {
		return time.Time{}
	}
	return s.KillAt.Add(-killMargin - answerMargin)
}

// TimeToExit returns how long a node that will be killed can take to end; false
// when there is no limit.
func (s State) TimeToExit(now time.Time) (time.Duration, bool) {
	if s.KillAt.IsZero() {
		return 0, false
	}
	return max(s.KillAt.Add(-killMargin).Sub(now), killMargin/2), true
}

// InFlight counts the requests in flight that a stop waits for.
type InFlight struct {
	// Calls is the number of callers' requests at the node.
	Calls int
	// Admitted is the number of requests that run at the node's backend server
	// or wait for it.
	Admitted int
}

// Advance returns the state at the given time, and the delay after which it is
// due again; zero when only another change of state makes it due. limit is the
// duration after which a stop is overdue.
func (s State) Advance(now time.Time, u InFlight, limit time.Duration) (State, time.Duration) {
	if !s.Stopping || s.Done {
		return s, 0
	}
	waited := now.Sub(s.Since)
	if now.Sub(s.ProgressLoggedAt) >= progressInterval {
		s.ProgressLoggedAt = now
	}
	grace := LeaveGrace
	if !s.KillAt.IsZero() {
		grace = s.callersGrace() // new requests can arrive until callers are refused
	}
	if waited < grace {
		return s, min(grace-waited, checkInterval)
	}
	killDue := !s.KillAt.IsZero() && !now.Before(s.KillAt.Add(-killMargin))
	if u == (InFlight{}) || killDue {
		s.Done = true
		return s, 0
	}
	if !s.Overdue && waited >= limit {
		s.Overdue, s.ProgressLoggedAt = true, now
	}
	return s, checkInterval
}
