package registration_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/registration"
)

var (
	start = time.Unix(1_700_000_000, 0)
	own   = registration.Report{Service: "desk", Address: "10.0.0.1:80"}
)

// report returns a report of this node's backend server with six slots.
func report(instance string, phase registration.Phase, sequence uint64, startedAtMillis int64) registration.Report {
	return registration.Report{
		Instance: instance, Service: own.Service, Address: own.Address, Slots: 6,
		Phase: phase, Sequence: sequence, StartedAtMillis: startedAtMillis,
	}
}

// apply applies a report and checks its outcome.
func apply(t *testing.T, b registration.Backend, r registration.Report, want registration.ReportOutcome) registration.Backend {
	t.Helper()
	b, outcome := registration.Apply(start, b, r, own)
	must.Eq(t, want, outcome)
	return b
}

// Reports of one start can arrive out of order. One with a lower sequence
// number, or one that arrives after the instance is gone, must not make a
// draining or departed backend server ready again.
func TestLateReportOfSameStartIsStale(t *testing.T) {
	b := apply(t, registration.Backend{}, report("a", registration.Ready, 4, 100), registration.Accepted)
	b = apply(t, b, report("a", registration.Draining, 5, 100), registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 3, 100), registration.Stale)
	must.False(t, b.Available(start))
	b = apply(t, b, registration.Report{Instance: "a", Phase: registration.Gone}, registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 6, 100), registration.Stale)
	must.False(t, b.Available(start))
}

// A restarted backend server keeps its instance name and begins a new sequence.
// Its reports must be accepted, and later ones of the earlier start must not.
func TestRestartUnderSameInstanceNameIsAccepted(t *testing.T) {
	b := apply(t, registration.Backend{}, report("a", registration.Ready, 9, 100), registration.Accepted)
	b = apply(t, b, registration.Report{Instance: "a", Phase: registration.Gone}, registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 1, 200), registration.Accepted)
	must.True(t, b.Available(start))
	apply(t, b, report("a", registration.Ready, 10, 100), registration.Stale)
}

// A report without a start time is older than every report that has one. Otherwise
// it would replace the known start time, and with it the order of all later ones.
func TestReportWithoutStartTimeDoesNotReplaceAKnownOne(t *testing.T) {
	for _, instance := range []string{"a", "b"} {
		b := apply(t, registration.Backend{}, report("a", registration.Ready, 4, 100), registration.Accepted)
		b = apply(t, b, report(instance, registration.Ready, 5000, 0), registration.Stale)
		b = apply(t, b, report("a", registration.Draining, 5, 100), registration.Accepted)
		must.False(t, b.Available(start))
	}
	b := apply(t, registration.Backend{}, report("a", registration.Ready, 5000, 0), registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 2, 200), registration.Accepted)
	must.Eq(t, 2, b.Sequence)
}

// A backend server does not take back a drain, so its report of one holds whatever
// sequence number another writer's report has had, and stays in force.
func TestDrainHoldsAgainstAHigherSequenceNumber(t *testing.T) {
	b := apply(t, registration.Backend{}, report("a", registration.Ready, 4, 100), registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 5000, 100), registration.Accepted)
	b = apply(t, b, report("a", registration.Draining, 5, 100), registration.Accepted)
	must.False(t, b.Available(start))
	b = apply(t, b, report("a", registration.Ready, 4999, 100), registration.Stale)
	must.False(t, b.Available(start))
	b = apply(t, b, report("a", registration.Ready, 1, 200), registration.Accepted)
	must.True(t, b.Available(start))
	apply(t, b, report("a", registration.Draining, 6, 100), registration.Stale)
}

// After a restart of the node, several late reports of a departed backend server can
// arrive. They must not confirm each other; a health check does, and so does a report
// that is too late to have been sent before the restart.
func TestLateReportsAfterARestartAreUnverified(t *testing.T) {
	restarted := registration.Backend{ReceivingSince: start.Add(-time.Second)}
	b := apply(t, restarted, report("a", registration.Ready, 7, 100), registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 8, 100), registration.Accepted)
	must.False(t, b.Available(start))
	b = b.WithHealthCheck("a", false)
	b = apply(t, b, report("a", registration.Ready, 9, 100), registration.Accepted)
	must.False(t, b.Available(start))
	must.True(t, b.WithHealthCheck("a", true).Available(start))
	later := start.Add(10 * time.Second)
	b, _ = registration.Apply(later, b, report("a", registration.Ready, 16, 100), own)
	must.True(t, b.Available(later))
	b = apply(t, restarted, report("a", registration.Ready, 1, 100), registration.Accepted)
	must.True(t, b.Available(start), must.Sprint("the first report of a new start is confirmed by its number"))
}

// applyAt applies a report at a time and checks its outcome.
func applyAt(t *testing.T, now time.Time, b registration.Backend, r registration.Report, want registration.ReportOutcome) registration.Backend {
	t.Helper()
	b, outcome := registration.Apply(now, b, r, own)
	must.Eq(t, want, outcome)
	return b
}

// A backend server that starts again after the clock of its host was set back states an
// earlier start than before. Its departure is acknowledged, so it must hold, however
// long the new start has been known and however it is reported.
func TestDepartureHoldsAfterClockWasSetBack(t *testing.T) {
	for name, depart := range map[string]registration.Report{
		"draining":                      report("a", registration.Draining, 5, 100),
		"gone":                          {Instance: "a", Phase: registration.Gone, StartedAtMillis: 100},
		"gone, start time not reported": {Instance: "a", Phase: registration.Gone},
	} {
		for _, after := range []time.Duration{time.Second, time.Minute} {
			b := apply(t, registration.Backend{}, report("a", registration.Ready, 1, 200), registration.Accepted)
			b = apply(t, b, report("a", registration.Ready, 1, 100), registration.Accepted)
			must.True(t, b.Available(start), must.Sprint("the instance is the same"))
			b = applyAt(t, start.Add(after), b, depart, registration.Accepted)
			must.False(t, b.Available(start.Add(after)), must.Sprint(name, after))

			// A late report of the first start does not take it back.
			b, _ = registration.Apply(start.Add(after), b, report("a", registration.Ready, 9, 200), own)
			must.False(t, b.Available(start.Add(after)), must.Sprint(name, after))
			b = b.WithHealthCheck("a", false)
			must.False(t, b.Available(start.Add(after)), must.Sprint(name, after))
		}
	}
}

// The departure of a start of which no other report has arrived must hold too.
func TestDepartureOfUnknownStartHolds(t *testing.T) {
	for _, startedAt := range []int64{100, 300} {
		b := apply(t, registration.Backend{}, report("a", registration.Ready, 4, 200), registration.Accepted)
		b = apply(t, b, registration.Report{Instance: "a", Phase: registration.Gone, StartedAtMillis: startedAt}, registration.Accepted)
		must.False(t, b.Available(start))
	}
}

// A late report of an earlier start that this process does not know must not end the
// use of the current one: its next report, confirmed by a health check, restores it.
func TestLateDepartureOfUnknownStartIsCorrected(t *testing.T) {
	b := apply(t, registration.Backend{}, report("a", registration.Ready, 4, 200), registration.Accepted)
	b = apply(t, b, report("a", registration.Draining, 30, 100), registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 5, 200), registration.Accepted)
	must.False(t, b.Available(start))
	must.True(t, b.WithHealthCheck("a", true).Available(start))
}

// A backend server that starts again under another name after the clock was set back
// must get requests, once it is certain that its report is not a late one.
func TestStartUnderAnotherNameAfterClockWasSetBack(t *testing.T) {
	b := apply(t, registration.Backend{}, report("old", registration.Ready, 9, 200), registration.Accepted)
	apply(t, b, report("new", registration.Ready, 1, 100), registration.Stale)

	later := start.Add(time.Minute)
	known := applyAt(t, later, b, report("new", registration.Ready, 40, 100), registration.Accepted)
	must.False(t, known.Available(later))
	must.True(t, known.WithHealthCheck("new", true).Available(later))

	b = b.WithReplacedInstance("old")
	b = apply(t, b, report("new", registration.Ready, 2, 100), registration.Accepted)
	must.False(t, b.Available(start))
	must.True(t, b.WithHealthCheck("new", true).Available(start))
}

// After a departure that was reported to a node that did not know the instance, a start
// under the same name with an earlier start time must be accepted in the end.
func TestStartAfterUnknownDepartureAndClockSetBack(t *testing.T) {
	b := apply(t, registration.Backend{}, registration.Report{Instance: "a", Phase: registration.Gone, StartedAtMillis: 200}, registration.Accepted)
	apply(t, b, report("a", registration.Ready, 7, 100), registration.Stale)
	later := start.Add(time.Minute)
	applyAt(t, later, b, report("a", registration.Ready, 47, 200), registration.Stale)
	b = applyAt(t, later, b, report("a", registration.Ready, 40, 100), registration.Accepted)
	must.True(t, b.Available(later))
}

// A delayed report of the previous instance at the address, which has another
// name and a higher sequence number, must not replace the current one.
func TestReportOfPredecessorAtSameAddressIsStale(t *testing.T) {
	b := apply(t, registration.Backend{}, report("new", registration.Ready, 1, 200), registration.Accepted)
	b = apply(t, b, report("old", registration.Ready, 30, 100), registration.Stale)
	must.Eq(t, "new", b.Instance)
}

// After a restart of the node, the first report can be that the backend server
// is gone, followed by a delayed report of that instance. The delayed report
// must not make the departed backend server ready.
func TestDelayedReportAfterDepartureIsStale(t *testing.T) {
	b := apply(t, registration.Backend{}, registration.Report{Instance: "a", Phase: registration.Gone}, registration.Accepted)
	b = apply(t, b, report("a", registration.Ready, 19, 100), registration.Stale)
	must.False(t, b.Available(start))
	b = apply(t, b, report("a", registration.Ready, 20, 100), registration.Stale)
	b = apply(t, b, report("a", registration.Ready, 3, 200), registration.Accepted)
	must.True(t, b.Available(start))
}

// A report for another service or address, as a misconfigured backend server
// sends, must not register that server as this node's.
func TestReportForOtherServiceOrAddressIsMismatched(t *testing.T) {
	r := report("a", registration.Ready, 1, 100)
	r.Address = "10.0.0.2:80"
	b := apply(t, registration.Backend{}, r, registration.Mismatched)
	r = report("a", registration.Ready, 1, 100)
	r.Service = "other"
	apply(t, b, r, registration.Mismatched)
}

// After a failed connection the backend server must get no requests until the
// backoff ends or it reports again, whichever comes first.
func TestConnectFailurePausesRequestsUntilNextReport(t *testing.T) {
	b := apply(t, registration.Backend{}, report("a", registration.Ready, 1, 100), registration.Accepted)
	b = b.WithConnectFailure(start)
	must.False(t, b.Available(start))
	must.True(t, b.Available(b.DownUntil))
	b = b.WithConnectFailure(b.DownUntil)
	b = apply(t, b, report("a", registration.Ready, 2, 100), registration.Accepted)
	must.True(t, b.Available(start))
}
