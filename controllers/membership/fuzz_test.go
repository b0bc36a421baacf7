package membership_test

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	controllers "github.com/marigoldshelf/marigoldshelf/controllers/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// session runs random steps on a simulated fleet and checks the views of the nodes
// against the processes that actually run.
type session struct {
	*network
	lastStarts map[mesh.HostID]mesh.Incarnation // the incarnation of the last start
	faulty     bool                             // loss, a pause or a partition has occurred
}

// TestViewsMatchOracle runs random sessions of stops, restarts, pauses, partitions
// and loss. It guards against three faults: a node sees an older incarnation of a
// host after a newer one, or a dead incarnation alive again; a running member is
// declared gone although there was no loss, pause or partition; a view is still
// wrong 2 minutes after all faults have ended.
func TestViewsMatchOracle(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(t, rapid.Uint64().Draw(rt, "seed"), blackboard.PanicOnNested())
		n.add("fes", 4)
		n.add("meknes", 3)
		n.runUntil("every node sees every node alive", 15*time.Second, n.converged)
		s := &session{network: n, lastStarts: make(map[mesh.HostID]mesh.Incarnation)}
		for _, h := range n.nodes {
			s.lastStarts[h.self.Host] = h.self.StartIncarnation
			s.failOnRegression(rt, h)
		}
		n.run(2 * time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"die":     s.killHost,
			"restart": s.restartHost,
			"pause":   s.pauseHost,
			"cut":     s.partitionZones,
			"lose":    func(rt *rapid.T) { s.faulty, s.loss = true, rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss") },
			"wait":    func(rt *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 8).Draw(rt, "seconds")) * time.Second) },
			"":        s.check,
		})
		s.heal(rt)
	})
}

// fixSeed sets a fixed seed and number of sessions unless flags set them.
func fixSeed(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12"} {
		known := flag.Lookup(name)
		if known.Value.String() == known.DefValue {
			must.NoError(t, flag.Set(name, value))
		}
	}
}

// failOnRegression fails the session when a row of a node's Members returns to an
// older incarnation, or from dead to another state within one incarnation. The
// rows are read after each step because a watcher must not start a transaction.
func (s *session) failOnRegression(rt *rapid.T, h *testNode) {
	highest := make(map[mesh.HostID]mesh.Member)
	changed := make(map[mesh.HostID]bool)
	h.tables.Members.Watch(func(id mesh.HostID) { changed[id] = true })
	h.afterStep = func() {
		for id := range changed {
			m, old := h.member(id), highest[id]
			revived := m.Incarnation == old.Incarnation && old.State == mesh.Dead && m.State != mesh.Dead
			if m.Incarnation < old.Incarnation || revived {
				rt.Fatalf("%s sees %s go from %v at %d back to %v at %d", h.self.Host, id, old.State, old.Incarnation, m.State, m.Incarnation)
			}
			highest[id] = m
		}
		clear(changed)
	}
}

func (s *session) drawHost(rt *rapid.T) *testNode {
	return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "host")]
}

// killHost stops a host if more than two hosts of its zone are running.
func (s *session) killHost(rt *rapid.T) {
	h := s.drawHost(rt)
	left := 0
	for _, other := range s.nodes {
		if other.self.Zone == h.self.Zone && !other.down {
			left++
		}
	}
	if left > 2 {
		h.down = true
	}
}

func (s *session) restartHost(rt *rapid.T) {
	h := s.drawHost(rt)
	s.start(h, mesh.Incarnation(s.clock.Now().UnixNano()))
	s.lastStarts[h.self.Host] = h.self.StartIncarnation
	s.failOnRegression(rt, h)
}

func (s *session) pauseHost(rt *rapid.T) {
	s.faulty = true
	h := s.drawHost(rt)
	h.paused = true
	s.run(time.Duration(rapid.IntRange(1, 90).Draw(rt, "tenths")) * 100 * time.Millisecond)
	h.paused = false
}

func (s *session) partitionZones(rt *rapid.T) {
	s.faulty = true
	isPartitioned := rapid.Bool().Draw(rt, "cut")
	s.partitioned = func(from, to *testNode) bool { return isPartitioned && from.self.Zone != to.self.Zone }
}

func (s *session) check(rt *rapid.T) {
	if !s.faulty && s.seesRunningHostDead() {
		rt.Fatalf("a running member was declared gone without loss, pause or partition")
	}
}

// seesRunningHostDead reports whether a running node sees a running host as dead
// since its last start.
func (s *session) seesRunningHostDead() bool {
	for _, h := range s.nodes {
		for _, other := range s.nodes {
			m := h.member(other.self.Host)
			if !h.down && !other.down && m.State == mesh.Dead && m.StartIncarnation == s.lastStarts[other.self.Host] {
				return true
			}
		}
	}
	return false
}

// heal ends loss and partitions, and fails the session if a view is still wrong
// after 2 minutes or if members were declared gone more than 200 times.
func (s *session) heal(rt *rapid.T) {
	s.loss = 0
	s.partitioned = func(_, _ *testNode) bool { return false }
	end := s.clock.Now().Add(2 * time.Minute)
	for !s.viewsAreAccurate() {
		if s.clock.Now().After(end) {
			rt.Fatalf("views still wrong 2 minutes after the faults ended: %s", s.describeViews())
		}
		s.run(100 * time.Millisecond)
	}
	if gone := s.eventCount(controllers.EventDeclaredGone); gone > 200 {
		rt.Fatalf("%d members were declared gone, want at most 200", gone)
	}
}

// viewsAreAccurate reports whether every running node sees all running hosts as
// alive and no stopped host as running.
func (s *session) viewsAreAccurate() bool {
	for _, other := range s.nodes {
		if other.down && !s.nobodySeesRunning(other) {
			return false
		}
	}
	return s.converged()
}

func (s *session) nobodySeesRunning(dead *testNode) bool {
	for _, h := range s.nodes {
		state := h.member(dead.self.Host).State
		if !h.down && (state == mesh.Alive || state == mesh.Suspect || state == mesh.Leaving) {
			return false
		}
	}
	return true
}

// describeViews returns the status and the view of each running node.
func (s *session) describeViews() string {
	text := ""
	for _, h := range s.nodes {
		if h.down {
			continue
		}
		text += "\n" + string(h.self.Host) + " (" + h.tables.Self.Load().Status.String() + "):"
		for _, other := range s.nodes {
			text += " " + string(other.self.Host) + "=" + h.member(other.self.Host).State.String()
		}
	}
	return text
}
