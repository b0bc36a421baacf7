package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

var start = time.Unix(1_700_000_000, 0)

func TestLateNodeLooksOnceMoreBeforeItAccuses(t *testing.T) {
	c := membership.DefaultConfig()
	p := membership.Prober{TickedAt: start}
	probe, action := p.Check(membership.Probe{Target: "a", SentAt: start}, start, c)
	must.Eq(t, membership.Wait, action)
	probe, action = p.Check(probe, start.Add(c.AckTimeout), c)
	must.Eq(t, membership.Help, action)
	late := start.Add(c.FailTimeout + time.Second)
	probe, action = p.Check(probe, late, c)
	must.Eq(t, membership.Wait, action)
	_, action = p.Check(probe, late.Add(c.AckTimeout), c)
	must.Eq(t, membership.Fail, action)
}

func TestSleepIsNoticed(t *testing.T) {
	c := membership.DefaultConfig()
	p := membership.Prober{TickedAt: start}
	must.False(t, p.Slept(start.Add(c.Period), c))
	must.True(t, p.Slept(start.Add(2*c.Period), c))
}

func TestUnhealthyNodeWaitsLonger(t *testing.T) {
	c := membership.DefaultConfig()
	p := membership.Prober{}
	probe := membership.Probe{Target: "a", SentAt: start}
	must.Eq(t, 1, p.Failed(probe).Health)
	must.Eq(t, 0, p.Acked(start.Add(time.Millisecond)).Failed(probe).Health, must.Sprint("others answered meanwhile"))
	waiting, _ := p.Failed(probe).Check(probe, start, c)
	must.Eq(t, start.Add(2*c.AckTimeout), waiting.DueAt)
}

func TestSuspicionShrinksWithItsAccusers(t *testing.T) {
	c := membership.DefaultConfig()
	must.Eq(t, c.SuspicionMax, c.SuspicionTimeout(1, 10))
	must.Less(t, c.SuspicionMax, c.SuspicionTimeout(2, 10))
	must.Eq(t, c.SuspicionMin, c.SuspicionTimeout(3, 10))
	must.Eq(t, c.SuspicionMin, c.SuspicionTimeout(1, 1), must.Sprint("nobody else could confirm"))
}

func TestNewsIsOrderedByIncarnationThenPhase(t *testing.T) {
	at := func(i mesh.Incarnation, phase membership.Phase) membership.Record {
		return membership.Record{Member: mesh.Member{Host: "a", Incarnation: i, State: mesh.Alive}, Phase: phase, By: "b"}
	}
	_, isKept := membership.Merge(membership.Peer{}, false, at(5, membership.Gone), start)
	must.False(t, isKept, must.Sprint("the death of a stranger"))
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
