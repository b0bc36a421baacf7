package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	controllers "github.com/marigoldshelf/marigoldshelf/controllers/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// zoneSees reports whether a host is seen in state by every node of zone.
func (n *network) zoneSees(zone mesh.Zone, id mesh.HostID, state mesh.MemberState) bool {
	for _, h := range n.nodes {
		if h.self.Zone == zone && !h.down && h.self.Host != id && h.state(id).State != state {
			return false
		}
	}
	return true
}

func TestLeavingMemberIsKnown(t *testing.T) {
	n := threeZones(t, 3)
	leaving := n.nodes[4]
	b := leaving.tables
	setDrain := func(draining bool) {
		b.Board.Do(func(tx *blackboard.Tx) { b.Drain.Set(tx, drain.State{Draining: draining}) }, b.Drain.Write())
	}
	setDrain(true)
	inZone := n.until("leaving in its zone", time.Second, func() bool { return n.zoneSees("fes", leaving.self.Host, mesh.Leaving) })
	rest := n.until("leaving everywhere", 2*time.Second, func() bool { return n.everyone(leaving.self.Host, mesh.Leaving) })
	t.Logf("leaving known in its zone after %v, everywhere %v later", inZone, rest)
	setDrain(false)
	n.until("back everywhere", 2*time.Second, func() bool { return n.everyone(leaving.self.Host, mesh.Alive) })
}

func TestZoneCutOffIsUnreachableAndComesBackAsItWas(t *testing.T) {
	n := threeZones(t, 4)
	before := n.nodes[0].state(n.nodes[8].self.Host).Incarnation
	n.cut = func(from, to *host) bool { return (from.self.Zone == "meknes") != (to.self.Zone == "meknes") }
	n.logDown = true
	cutOff := func(state mesh.MemberState) func() bool {
		return func() bool {
			for _, far := range n.nodes[6:12] {
				if !n.zoneSees("fes", far.self.Host, state) || !n.zoneSees("meknes", far.self.Host, mesh.Alive) {
					return false
				}
			}
			return n.zoneSees("meknes", n.nodes[0].self.Host, state)
		}
	}
	took := n.until("the zone is unreachable", 6*time.Second, cutOff(mesh.Unreachable))
	n.run(2 * time.Minute)
	must.True(t, cutOff(mesh.Unreachable)())
	must.Eq(t, 0, n.count(controllers.EventDeclaredGone))

	n.cut = func(_, _ *host) bool { return false }
	sent := n.bytes
	healed := n.until("the zone is back", 3*time.Second, cutOff(mesh.Alive))
	must.Eq(t, before, n.nodes[0].state(n.nodes[8].self.Host).Incarnation)
	must.Eq(t, 0, n.count(controllers.EventContradicted))
	t.Logf("unreachable after %v, back after %v with %d bytes", took, healed, n.bytes-sent)
}

// A zone loses a member and gains one while it is cut off; both views merge.
func TestViewsMergeAfterAPartition(t *testing.T) {
	n := threeZones(t, 5)
	n.cut = func(from, to *host) bool { return (from.self.Zone == "meknes") != (to.self.Zone == "meknes") }
	n.run(8 * time.Second)
	dead, restarted := n.nodes[7], n.nodes[9]
	dead.down, restarted.down = true, true
	n.run(8 * time.Second)
	n.start(restarted, mesh.Incarnation(n.clock.Now().UnixNano()))
	n.nodes[1].down = true // and one on the other side
	n.run(10 * time.Second)
	n.cut = func(_, _ *host) bool { return false }
	n.until("one view", 10*time.Second, func() bool {
		return n.whole() && n.everyone(dead.self.Host, mesh.Dead) && n.everyone(n.nodes[1].self.Host, mesh.Dead)
	})
}

// Both halves of a zone declare each other gone, and find each other again.
func TestHalvesOfAZoneFindEachOther(t *testing.T) {
	n := newNetwork(t, 6, blackboard.CheckOrder())
	n.add("fes", 8)
	n.until("all know all", 15*time.Second, n.whole)
	half := func(h *host) bool { return h.self.Host < "fes-05" }
	n.cut = func(from, to *host) bool { return half(from) != half(to) }
	n.until("the halves part", 20*time.Second, func() bool {
		return n.nodes[0].state("fes-08").State == mesh.Dead && n.nodes[7].state("fes-01").State == mesh.Dead
	})
	n.cut = func(_, _ *host) bool { return false }
	took := n.until("the halves are one", time.Minute, n.whole)
	t.Logf("one again after %v", took)
}

func TestPausedMemberLearnsBeforeItActs(t *testing.T) {
	n := threeZones(t, 7)
	paused := n.nodes[2]
	old := paused.tables.Self.Load()
	must.True(t, old.Confirmed(n.clock.Now()))
	paused.paused = true
	n.until("declared dead", 6*time.Second, func() bool { return n.everyone(paused.self.Host, mesh.Dead) })
	n.run(time.Second)
	// The first controller that asks, before any timer has run, is told.
	must.False(t, paused.tables.Self.Load().Confirmed(n.clock.Now()))
	paused.paused = false
	took := n.until("back under a new incarnation", 6*time.Second, func() bool {
		self := paused.tables.Self.Load()
		if self.Member.Incarnation == old.Member.Incarnation {
			must.False(t, self.Confirmed(n.clock.Now()))
		}
		return n.whole() && self.Confirmed(n.clock.Now())
	})
	must.Greater(t, old.Member.Incarnation, paused.tables.Self.Load().Member.Incarnation)
	t.Logf("back after %v", took)
}

// A machine is replaced under the same name; its clock is behind. The old
// process was only paused, and wakes.
func TestReplacedHostIsANewMember(t *testing.T) {
	n := threeZones(t, 8)
	old := n.nodes[2]
	oldLife := old.self.Life
	old.paused = true
	replacement := &host{self: old.self}
	replacement.self.ProbeAddress, replacement.self.PeerAddress = "10.9.9.9:7200", "10.9.9.9:7200"
	n.nodes = append(n.nodes, replacement)
	n.start(replacement, oldLife-mesh.Incarnation(time.Hour))
	seen := func() bool {
		for _, h := range n.nodes {
			if m := h.state(old.self.Host); h != old && (m.Life != replacement.self.Life || m.State != mesh.Alive) {
				return false
			}
		}
		return true
	}
	took := n.until("the new machine is seen", 10*time.Second, seen)
	n.run(2 * time.Second)
	old.paused = false
	n.until("the old process gives up", 10*time.Second, func() bool {
		return old.tables.Self.Load().Standing == membership.Replaced
	})
	must.False(t, old.tables.Self.Load().Confirmed(n.clock.Now()))
	n.run(10 * time.Second)
	must.True(t, seen())
	t.Logf("seen after %v", took)
}

// Another host takes over the address of a dead one.
func TestOtherHostAtTheSameAddress(t *testing.T) {
	n := threeZones(t, 9)
	old := n.nodes[2]
	old.down = true
	taker := &host{self: old.self}
	taker.self.Host = "fes-99"
	n.nodes = append(n.nodes, taker)
	n.nodes[2] = taker // the address leads to it
	n.nodes = n.nodes[:len(n.nodes)-1]
	n.start(taker, mesh.Incarnation(n.clock.Now().UnixNano()))
	n.until("the old name is dead and the new one alive", 12*time.Second, func() bool {
		return n.everyone(old.self.Host, mesh.Dead) && n.everyone("fes-99", mesh.Alive)
	})
}

// A node whose answers come late accuses nobody into death.
func TestSlowNodeDoesNotGetOthersDeclaredDead(t *testing.T) {
	n := threeZones(t, 10)
	slow := n.nodes[1]
	for range 60 { // it runs for 0.1 s, and stands still for 0.9 s
		slow.paused = true
		n.run(900 * time.Millisecond)
		slow.paused = false
		n.run(100 * time.Millisecond)
	}
	for _, h := range n.nodes {
		must.True(t, n.everyone(h.self.Host, mesh.Alive) || h == slow, must.Sprintf("%s", h.self.Host))
	}
	must.Eq(t, 0, n.count(controllers.EventDeclaredGone))
}

// With the platform down, the seeds alone bring newcomers together.
func TestSeedsJoinWhileThePlatformIsDown(t *testing.T) {
	n := newNetwork(t, 11, blackboard.CheckOrder())
	n.logDown = true
	n.add("fes", 4)
	n.add("meknes", 4)
	for _, h := range n.nodes {
		h.seeds = []string{n.nodes[0].self.ProbeAddress, n.nodes[5].self.ProbeAddress}
		n.start(h, h.self.Life)
	}
	n.until("all know all", 10*time.Second, n.whole)
	must.SliceEmpty(t, n.appends)
}

// Every node dies and returns at once, at the same addresses.
func TestWholeFleetReturnsWithFewAppends(t *testing.T) {
	n := threeZones(t, 12)
	n.run(time.Minute)
	before := len(n.appends)
	for _, h := range n.nodes {
		n.start(h, mesh.Incarnation(n.clock.Now().UnixNano()))
	}
	took := n.until("all know all", 15*time.Second, n.whole)
	must.LessEq(t, len(n.nodes)/2, len(n.appends)-before)
	t.Logf("whole after %v with %d appends", took, len(n.appends)-before)
}

// Loss of one datagram in ten, and pauses of a second.
func TestLossAndPausesDeclareNobodyDead(t *testing.T) {
	n := threeZones(t, 13)
	n.loss = 0.1
	for i := range 60 {
		h := n.nodes[(7*i)%len(n.nodes)]
		h.paused = true
		n.run(time.Second)
		h.paused = false
		n.run(500 * time.Millisecond)
	}
	t.Logf("suspected %d, contradicted %d, declared gone %d in 90 s",
		n.count(controllers.EventSuspected), n.count(controllers.EventContradicted), n.count(controllers.EventDeclaredGone))
	must.Eq(t, 0, n.count(controllers.EventDeclaredGone))
	n.loss = 0
	n.until("all know all", 10*time.Second, n.whole)
}

// A relay dies after a long quiet time; the one that takes its place has never
// spoken with the other zones, which does not make them unreachable.
func TestNewRelayDoesNotFindZonesUnreachable(t *testing.T) {
	n := threeZones(t, 14)
	n.run(20 * time.Second)
	for _, h := range n.nodes[:3] {
		h.down = true
		n.run(10 * time.Second)
	}
	must.Eq(t, 0, n.count(controllers.EventZoneUnreachable))
}

// A node whose own network fails knows nothing of the others: it declares none
// of them dead, and there is nothing to contradict when it is back.
func TestNodeThatHearsNobodyDeclaresNobodyDead(t *testing.T) {
	n := threeZones(t, 15)
	alone := n.nodes[3]
	n.cut = func(from, to *host) bool { return from == alone || to == alone }
	n.until("dead to the others", 6*time.Second, func() bool { return n.everyone(alone.self.Host, mesh.Dead) })
	n.run(30 * time.Second)
	must.Eq(t, 0, alone.events[controllers.EventDeclaredGone])
	must.False(t, alone.tables.Self.Load().Confirmed(n.clock.Now()))
	for _, h := range n.nodes {
		must.NotEq(t, mesh.Dead, alone.state(h.self.Host).State)
	}
	n.cut = func(_, _ *host) bool { return false }
	n.until("all know all", 40*time.Second, n.whole)
	// It may have suspected a few before it knew that it was cut off.
	must.LessEq(t, 3, n.count(controllers.EventContradicted)-alone.events[controllers.EventContradicted])
}

// Gossip is random: now and then it misses a node. The next probe brings the
// difference to light.
func TestNodeThatGossipMissedCatchesUp(t *testing.T) {
	n := threeZones(t, 16)
	missed, dead := n.nodes[14], n.nodes[3]
	n.drop = func(to *host, m membership.Message) bool { return to == missed && m.Kind == membership.Gossip }
	dead.down = true
	n.until("dead to the rest", 5*time.Second, func() bool {
		return n.nodes[13].state(dead.self.Host).State == mesh.Dead
	})
	n.run(time.Second) // the rounds of gossip are over
	n.drop = func(*host, membership.Message) bool { return false }
	took := n.until("dead to the one that was missed", 3*time.Second, func() bool {
		return missed.state(dead.self.Host).State == mesh.Dead
	})
	t.Logf("caught up %v later", took)
}
