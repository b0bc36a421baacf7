package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

var start = time.Unix(1_700_000_000, 0)

// A node that was stalled checks its probes late, with answers possibly still in
// its inbox. It must check once more before it suspects the target.
func TestStalledNodeRechecksBeforeSuspecting(t *testing.T) {
	c := membership.DefaultConfig()
	p := membership.Prober{PeriodStartedAt: start}
	probe, action := p.CheckProbe(membership.Probe{Target: "a", SentAt: start}, start, c)
	must.Eq(t, membership.Wait, action)
	probe, action = p.CheckProbe(probe, start.Add(c.AckTimeout), c)
	must.Eq(t, membership.RequestIndirect, action)
	late := start.Add(c.SuspectTimeout + time.Second)
	probe, action = p.CheckProbe(probe, late, c)
	must.Eq(t, membership.Wait, action)
	_, action = p.CheckProbe(probe, late.Add(c.AckTimeout), c)
	must.Eq(t, membership.Fail, action)
}

// A process that was paused must notice that its probe period is overdue, and
// must not mistake a normal period for a stall.
func TestOverduePeriodIsDetectedAsStall(t *testing.T) {
	c := membership.DefaultConfig()
	p := membership.Prober{PeriodStartedAt: start}
	must.False(t, p.Stalled(start.Add(c.ProbeInterval), c))
	must.True(t, p.Stalled(start.Add(2*c.ProbeInterval), c))
}

// A slow node must not suspect healthy members: a failed probe lengthens its
// timeouts, unless another member answered after that probe was sent.
func TestFailedProbeLengthensTimeouts(t *testing.T) {
	c := membership.DefaultConfig()
	p := membership.Prober{}
	probe := membership.Probe{Target: "a", SentAt: start}
	must.Eq(t, 1, p.ProbeFailed(probe).HealthScore)
	must.Eq(t, 0, p.ProbeAcked(start.Add(time.Millisecond)).ProbeFailed(probe).HealthScore, must.Sprint("another member answered after the probe"))
	waiting, _ := p.ProbeFailed(probe).CheckProbe(probe, start, c)
	must.Eq(t, start.Add(2*c.AckTimeout), waiting.DueAt)
}

// A suspicion must last longest with one reporter and shortest with enough of
// them, or if no other node can report it.
func TestSuspicionTimeoutShrinksWithReporters(t *testing.T) {
	c := membership.DefaultConfig()
	must.Eq(t, c.SuspicionMax, c.SuspicionTimeout(1, 10))
	must.Less(t, c.SuspicionMax, c.SuspicionTimeout(2, 10))
	must.Eq(t, c.SuspicionMin, c.SuspicionTimeout(3, 10))
	must.Eq(t, c.SuspicionMin, c.SuspicionTimeout(1, 1), must.Sprint("no other node can confirm"))
}

// Records arrive in any order. A stale one must not bring back a member that is
// gone, a record that an unknown member is gone must not be stored, and a new
// incarnation must replace the old one.
func TestRecordsAreOrderedByIncarnationThenPhase(t *testing.T) {
	at := func(i mesh.Incarnation, phase membership.Phase) membership.Record {
		return membership.Record{Member: mesh.Member{Host: "a", Incarnation: i, State: mesh.Alive}, Phase: phase, Reporter: "b"}
	}
	_, isKept := membership.Merge(membership.Peer{}, false, at(5, membership.Gone), start)
	must.False(t, isKept, must.Sprint("unknown member declared gone"))
	peer, isNew := membership.Merge(membership.Peer{}, false, at(5, membership.Up), start)
	must.True(t, isNew)
	peer, _ = membership.Merge(peer, true, at(5, membership.Gone), start)
	for _, stale := range []membership.Record{at(5, membership.Up), at(5, membership.Suspected), at(4, membership.Up)} {
		same, isNew := membership.Merge(peer, true, stale, start)
		must.False(t, isNew)
		must.Eq(t, peer, same)
	}
	peer, isNew = membership.Merge(peer, true, at(6, membership.Up), start)
	must.True(t, isNew)
	must.Eq(t, mesh.Alive, peer.State(false))
	must.Eq(t, mesh.Unreachable, peer.State(true))
}
