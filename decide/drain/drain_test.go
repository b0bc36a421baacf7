package drain_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/drain"
)

const limit = time.Minute

var start = time.Unix(1_000_000, 0)

func TestStopWaitsForRequestsInFlightAndBecomesOverdue(t *testing.T) {
	upload := drain.InFlight{Admitted: 1}
	s := drain.State{}.Stop(start)
	must.True(t, s.Draining)
	s, _ = s.Advance(start, drain.InFlight{}, limit)
	must.False(t, s.Done, must.Sprint("the grace time applies with no request in flight too"))

	s, _ = s.Advance(start.Add(limit-time.Second), upload, limit)
	must.False(t, s.Overdue)
	s, _ = s.Advance(start.Add(limit), upload, limit)
	must.True(t, s.Overdue)
	must.False(t, s.Done, must.Sprint("an overdue stop must not abort requests"))
	must.Eq(t, start.Add(limit), s.ProgressLoggedAt)

	s, _ = s.Advance(start.Add(2*limit), drain.InFlight{}, limit)
	must.True(t, s.Done)
}

func TestSecondStopKeepsTheFirstStartTime(t *testing.T) {
	s := drain.State{}.Stop(start)
	must.Eq(t, s, s.Stop(start.Add(time.Hour)))
}

func TestDrainWithoutStopNeverEndsTheNode(t *testing.T) {
	s := drain.State{Draining: true, Since: start}
	next, after := s.Advance(start.Add(time.Hour), drain.InFlight{}, limit)
	must.Eq(t, s, next)
	must.Zero(t, after)
}

// Guards against callers' requests being aborted when the process of a stopping
// node is killed: the node refuses callers early enough, and ends before the
// kill.
func TestNodeThatWillBeKilledRefusesCallersInTime(t *testing.T) {
	const within = 6 * time.Second
	busy := drain.InFlight{Calls: 1}
	s := drain.State{}.Stop(start).WithKillAfter(within)
	must.False(t, s.RefusesCallers(start.Add(2*time.Second)), must.Sprint("readiness checks have not sent all callers elsewhere yet"))
	must.True(t, s.RefusesCallers(start.Add(within/2)))
	s, _ = s.Advance(start.Add(within-time.Second), busy, limit)
	must.False(t, s.Done)
	s, _ = s.Advance(start.Add(within-100*time.Millisecond), busy, limit)
	must.True(t, s.Done)
	must.False(t, drain.State{}.Stop(start).RefusesCallers(start.Add(time.Hour)))
	s, _ = drain.State{}.Stop(start).WithKillAfter(within).Advance(start.Add(drain.LeaveGrace), drain.InFlight{}, limit)
	must.False(t, s.Done, must.Sprint("callers are not refused yet, so their requests would be aborted"))
}

// A node that has little time to stop must leave some of it for the requests that it
// has accepted, and answer them before it ends.
func TestShortStopLeavesTimeForRequestsInFlight(t *testing.T) {
	const within = 2 * time.Second
	s := drain.State{}.Stop(start).WithKillAfter(within)
	must.True(t, s.RefusesCallers(start.Add(within/2)))
	must.True(t, s.AnswersDue().Before(start.Add(within)))
	done, _ := s.Advance(s.AnswersDue(), drain.InFlight{Calls: 1}, limit)
	must.False(t, done.Done, must.Sprint("the last answers are written before the node ends"))
	done, _ = s.Advance(start.Add(within), drain.InFlight{Calls: 1}, limit)
	must.True(t, done.Done)
	must.True(t, drain.State{}.Stop(start).AnswersDue().IsZero())
}
