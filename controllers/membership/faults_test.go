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

// zoneSeesState reports whether every running node of zone, except the host
// itself, sees the host in state.
func (n *network) zoneSeesState(zone mesh.Zone, id mesh.HostID, state mesh.MemberState) bool {
	for _, h := range n.nodes {
		if h.self.Zone == zone && !h.down && h.self.Host != id && h.member(id).State != state {
			return false
		}
	}
	return true
}

// Guards against a drain that is not gossiped to other nodes, or that they still
// see after its end.
func TestLeavingStateSpreadsAndEnds(t *testing.T) {
	n := threeZones(t, 3)
	leaving := n.nodes[4]
	b := leaving.tables
	setDrain := func(draining bool) {
		b.Board.Do(func(tx *blackboard.Tx) { b.Drain.Set(tx, drain.State{Draining: draining}) }, b.Drain.Write())
	}
	setDrain(true)
	inZone := n.runUntil("leaving in its zone", time.Second, func() bool { return n.zoneSeesState("fes", leaving.self.Host, mesh.Leaving) })
	rest := n.runUntil("leaving everywhere", 2*time.Second, func() bool { return n.allSee(leaving.self.Host, mesh.Leaving) })
	t.Logf("leaving known in its zone after %v, everywhere %v later", inZone, rest)
	setDrain(false)
	n.runUntil("back everywhere", 2*time.Second, func() bool { return n.allSee(leaving.self.Host, mesh.Alive) })
}

// Guards against declaring the members of a partitioned zone gone: they must be
// unreachable, and alive again under the same incarnation once the partition ends.
func TestPartitionedZoneIsUnreachableAndRecovers(t *testing.T) {
	n := threeZones(t, 4)
	before := n.nodes[0].member(n.nodes[8].self.Host).Incarnation
	n.partitioned = func(from, to *testNode) bool { return (from.self.Zone == "meknes") != (to.self.Zone == "meknes") }
	n.logDown = true
	zonesSeeEachOther := func(state mesh.MemberState) func() bool {
		return func() bool {
			for _, far := range n.nodes[6:12] {
				if !n.zoneSeesState("fes", far.self.Host, state) || !n.zoneSeesState("meknes", far.self.Host, mesh.Alive) {
					return false
				}
			}
			return n.zoneSeesState("meknes", n.nodes[0].self.Host, state)
		}
	}
	took := n.runUntil("the zone is unreachable", 6*time.Second, zonesSeeEachOther(mesh.Unreachable))
	n.run(2 * time.Minute)
	must.True(t, zonesSeeEachOther(mesh.Unreachable)())
	must.Eq(t, 0, n.eventCount(controllers.EventDeclaredGone))

	n.partitioned = func(_, _ *testNode) bool { return false }
	sent := n.bytes
	healed := n.runUntil("the zone is back", 3*time.Second, zonesSeeEachOther(mesh.Alive))
	must.Eq(t, before, n.nodes[0].member(n.nodes[8].self.Host).Incarnation)
	must.Eq(t, 0, n.eventCount(controllers.EventRefuted))
	t.Logf("unreachable after %v, back after %v with %d bytes", took, healed, n.bytes-sent)
}

// Guards against views that stay different after a partition: on one side a member
// stops and another restarts, on the other side a member stops as well.
func TestViewsMergeAfterAPartition(t *testing.T) {
	n := threeZones(t, 5)
	n.partitioned = func(from, to *testNode) bool { return (from.self.Zone == "meknes") != (to.self.Zone == "meknes") }
	n.run(8 * time.Second)
	dead, restarted := n.nodes[7], n.nodes[9]
	dead.down, restarted.down = true, true
	n.run(8 * time.Second)
	n.start(restarted, mesh.Incarnation(n.clock.Now().UnixNano()))
	n.nodes[1].down = true // on the other side
	n.run(10 * time.Second)
	n.partitioned = func(_, _ *testNode) bool { return false }
	n.runUntil("all views agree", 10*time.Second, func() bool {
		return n.converged() && n.allSee(dead.self.Host, mesh.Dead) && n.allSee(n.nodes[1].self.Host, mesh.Dead)
	})
}

// Guards against a permanent split: the halves of a partitioned zone declare each
// other gone and no longer probe each other, but must rejoin afterwards.
func TestHalvesOfAPartitionedZoneRejoin(t *testing.T) {
	n := newNetwork(t, 6, blackboard.PanicOnNested())
	n.add("fes", 8)
	n.runUntil("every node sees every node alive", 15*time.Second, n.converged)
	half := func(h *testNode) bool { return h.self.Host < "fes-05" }
	n.partitioned = func(from, to *testNode) bool { return half(from) != half(to) }
	n.runUntil("the halves see each other dead", 20*time.Second, func() bool {
		return n.nodes[0].member("fes-08").State == mesh.Dead && n.nodes[7].member("fes-01").State == mesh.Dead
	})
	n.partitioned = func(_, _ *testNode) bool { return false }
	took := n.runUntil("the halves have rejoined", time.Minute, n.converged)
	t.Logf("rejoined after %v", took)
}

// Guards against a paused process that acts as a member after the others have
// declared it gone: it must be unconfirmed as soon as it resumes, and become
// confirmed only under a higher incarnation.
func TestPausedMemberIsUnconfirmedWhenItResumes(t *testing.T) {
	n := threeZones(t, 7)
	paused := n.nodes[2]
	old := paused.tables.Self.Load()
	must.True(t, old.Confirmed(n.clock.Now()))
	paused.paused = true
	n.runUntil("declared dead", 6*time.Second, func() bool { return n.allSee(paused.self.Host, mesh.Dead) })
	n.run(time.Second)
	// This holds at once, before any timer of the node has run.
	must.False(t, paused.tables.Self.Load().Confirmed(n.clock.Now()))
	paused.paused = false
	took := n.runUntil("back under a new incarnation", 6*time.Second, func() bool {
		self := paused.tables.Self.Load()
		if self.Member.Incarnation == old.Member.Incarnation {
			must.False(t, self.Confirmed(n.clock.Now()))
		}
		return n.converged() && self.Confirmed(n.clock.Now())
	})
	must.Greater(t, old.Member.Incarnation, paused.tables.Self.Load().Member.Incarnation)
	t.Logf("back after %v", took)
}

// Guards against two processes under one host name: a machine is replaced by one
// whose clock is behind, and the old process, which was only paused, resumes. The
// replacement must stay the member and the old process must give up the name.
func TestReplacedHostIsANewMember(t *testing.T) {
	n := threeZones(t, 8)
	old := n.nodes[2]
	oldStart := old.self.StartIncarnation
	old.paused = true
	replacement := &testNode{self: old.self}
	replacement.self.ProbeAddress, replacement.self.PeerAddress = "10.9.9.9:7200", "10.9.9.9:7200"
	n.nodes = append(n.nodes, replacement)
	n.start(replacement, oldStart-mesh.Incarnation(time.Hour))
	seen := func() bool {
		for _, h := range n.nodes {
			if m := h.member(old.self.Host); h != old && (m.StartIncarnation != replacement.self.StartIncarnation || m.State != mesh.Alive) {
				return false
			}
		}
		return true
	}
	took := n.runUntil("every node sees the new machine alive", 10*time.Second, seen)
	n.run(2 * time.Second)
	old.paused = false
	n.runUntil("the old process gives up the host name", 10*time.Second, func() bool {
		return old.tables.Self.Load().Status == membership.Replaced
	})
	must.False(t, old.tables.Self.Load().Confirmed(n.clock.Now()))
	n.run(10 * time.Second)
	must.True(t, seen())
	t.Logf("seen after %v", took)
}

// Guards against considering a host alive because another host replies at its
// address.
func TestOtherHostAtTheSameAddress(t *testing.T) {
	n := threeZones(t, 9)
	old := n.nodes[2]
	old.down = true
	successor := &testNode{self: old.self}
	successor.self.Host = "fes-99"
	n.nodes = append(n.nodes, successor)
	n.nodes[2] = successor // it now receives datagrams for the address
	n.nodes = n.nodes[:len(n.nodes)-1]
	n.start(successor, mesh.Incarnation(n.clock.Now().UnixNano()))
	n.runUntil("the old name is dead and the new one alive", 12*time.Second, func() bool {
		return n.allSee(old.self.Host, mesh.Dead) && n.allSee("fes-99", mesh.Alive)
	})
}

// Guards against a slow node that declares healthy members gone because it processes
// their Acks late.
func TestSlowNodeDoesNotDeclareOthersGone(t *testing.T) {
	n := threeZones(t, 10)
	slow := n.nodes[1]
	for range 60 { // in each second it runs for 0.1 s
		slow.paused = true
		n.run(900 * time.Millisecond)
		slow.paused = false
		n.run(100 * time.Millisecond)
	}
	for _, h := range n.nodes {
		must.True(t, n.allSee(h.self.Host, mesh.Alive) || h == slow, must.Sprintf("%s", h.self.Host))
	}
	must.Eq(t, 0, n.eventCount(controllers.EventDeclaredGone))
}

// Guards against a fleet that cannot start without the platform: while the log is
// unavailable, nodes must join through the seeds alone.
func TestSeedsJoinWhileThePlatformIsDown(t *testing.T) {
	n := newNetwork(t, 11, blackboard.PanicOnNested())
	n.logDown = true
	n.add("fes", 4)
	n.add("meknes", 4)
	for _, h := range n.nodes {
		h.seeds = []string{n.nodes[0].self.ProbeAddress, n.nodes[5].self.ProbeAddress}
		n.start(h, h.self.StartIncarnation)
	}
	n.runUntil("every node sees every node alive", 10*time.Second, n.converged)
	must.SliceEmpty(t, n.appends)
}

// Guards against a burst of announcements when all nodes restart at once at the
// same addresses: at most half of them append one.
func TestRestartOfWholeFleetNeedsFewAppends(t *testing.T) {
	n := threeZones(t, 12)
	n.run(time.Minute)
	before := len(n.appends)
	for _, h := range n.nodes {
		n.start(h, mesh.Incarnation(n.clock.Now().UnixNano()))
	}
	took := n.runUntil("every node sees every node alive", 15*time.Second, n.converged)
	must.LessEq(t, len(n.nodes)/2, len(n.appends)-before)
	t.Logf("converged after %v with %d appends", took, len(n.appends)-before)
}

// Guards against declaring running members gone under 10 % datagram loss and
// pauses of 1 s.
func TestNoMemberIsDeclaredGoneUnderLossAndPauses(t *testing.T) {
	n := threeZones(t, 13)
	n.loss = 0.1
	for i := range 60 {
		h := n.nodes[(7*i)%len(n.nodes)]
		h.paused = true
		n.run(time.Second)
		h.paused = false
		n.run(500 * time.Millisecond)
	}
	t.Logf("suspected %d, refuted %d, declared gone %d in 90 s",
		n.eventCount(controllers.EventSuspected), n.eventCount(controllers.EventRefuted), n.eventCount(controllers.EventDeclaredGone))
	must.Eq(t, 0, n.eventCount(controllers.EventDeclaredGone))
	n.loss = 0
	n.runUntil("every node sees every node alive", 10*time.Second, n.converged)
}

// Guards against a new relay that declares zones unreachable because it has never
// exchanged datagrams with them: relays stop after a quiet period and others
// replace them.
func TestNewRelayDoesNotFindZonesUnreachable(t *testing.T) {
	n := threeZones(t, 14)
	n.run(20 * time.Second)
	for _, h := range n.nodes[:3] {
		h.down = true
		n.run(10 * time.Second)
	}
	must.Eq(t, 0, n.eventCount(controllers.EventZoneUnreachable))
}

// Guards against an isolated node that declares the others gone, which they would
// have to refute once its network is back.
func TestIsolatedNodeDeclaresNobodyDead(t *testing.T) {
	n := threeZones(t, 15)
	isolated := n.nodes[3]
	n.partitioned = func(from, to *testNode) bool { return from == isolated || to == isolated }
	n.runUntil("dead at every other node", 6*time.Second, func() bool { return n.allSee(isolated.self.Host, mesh.Dead) })
	n.run(30 * time.Second)
	must.Eq(t, 0, isolated.events[controllers.EventDeclaredGone])
	must.False(t, isolated.tables.Self.Load().Confirmed(n.clock.Now()))
	for _, h := range n.nodes {
		must.NotEq(t, mesh.Dead, isolated.member(h.self.Host).State)
	}
	n.partitioned = func(_, _ *testNode) bool { return false }
	n.runUntil("every node sees every node alive", 40*time.Second, n.converged)
	// It may have suspected a few before it became unconfirmed itself.
	must.LessEq(t, 3, n.eventCount(controllers.EventRefuted)-isolated.events[controllers.EventRefuted])
}

// Guards against a node that stays out of date because random gossip missed it:
// the table digest on the next ping must start a comparison.
func TestNodeMissedByGossipCatchesUp(t *testing.T) {
	n := threeZones(t, 16)
	missed, dead := n.nodes[14], n.nodes[3]
	n.drop = func(to *testNode, m membership.Message) bool { return to == missed && m.Kind == membership.Gossip }
	dead.down = true
	n.runUntil("dead at another node", 5*time.Second, func() bool {
		return n.nodes[13].member(dead.self.Host).State == mesh.Dead
	})
	n.run(time.Second) // until the gossip rounds are over
	n.drop = func(*testNode, membership.Message) bool { return false }
	took := n.runUntil("dead at the node that gossip missed", 3*time.Second, func() bool {
		return missed.member(dead.self.Host).State == mesh.Dead
	})
	t.Logf("caught up %v later", took)
}
