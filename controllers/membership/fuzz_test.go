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

// session drives a fleet by drawn steps and checks it against an oracle that
// knows which process really lives.
type session struct {
	*network
	lives  map[mesh.HostID]mesh.Incarnation // the newest life started
	faulty bool                             // loss, pauses or cuts came about
}

// TestFleetAgreesWithTheOracle draws sessions of deaths, restarts, pauses, cuts
// and loss. No node may ever see a life of a host after a newer one, or a dead
// incarnation alive again; without loss, pauses and cuts nobody that lives may
// be declared gone; and once the faults end, every view comes to be the truth.
func TestFleetAgreesWithTheOracle(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(t, rapid.Uint64().Draw(rt, "seed"), blackboard.CheckOrder())
		n.add("fes", 4)
		n.add("meknes", 3)
		n.until("all know all", 15*time.Second, n.whole)
		s := &session{network: n, lives: make(map[mesh.HostID]mesh.Incarnation)}
		for _, h := range n.nodes {
			s.lives[h.self.Host] = h.self.Life
			s.watch(rt, h)
		}
		n.run(2 * time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"die":     s.die,
			"restart": s.restart,
			"pause":   s.pause,
			"cut":     s.cutZone,
			"lose":    func(rt *rapid.T) { s.faulty, s.loss = true, rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss") },
			"wait":    func(rt *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 8).Draw(rt, "seconds")) * time.Second) },
			"":        s.check,
		})
		s.heal(rt)
	})
}

// fixSeed makes every run draw the same sessions, unless flags say otherwise.
func fixSeed(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12"} {
		known := flag.Lookup(name)
		if known.Value.String() == known.DefValue {
			must.NoError(t, flag.Set(name, value))
		}
	}
}

// watch fails the session when a node's Members goes back. The rows are read
// after each step: a watcher must not begin a transaction.
func (s *session) watch(rt *rapid.T, h *host) {
	highest := make(map[mesh.HostID]mesh.Member)
	changed := make(map[mesh.HostID]bool)
	h.tables.Members.Watch(func(id mesh.HostID) { changed[id] = true })
	h.afterStep = func() {
		for id := range changed {
			m, old := h.state(id), highest[id]
			resurrected := m.Incarnation == old.Incarnation && old.State == mesh.Dead && m.State != mesh.Dead
			if m.Incarnation < old.Incarnation || resurrected {
				rt.Fatalf("%s sees %s go from %v at %d back to %v at %d", h.self.Host, id, old.State, old.Incarnation, m.State, m.Incarnation)
			}
			highest[id] = m
		}
		clear(changed)
	}
}

func (s *session) draw(rt *rapid.T) *host {
	return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "host")]
}

// die kills a host while at least two of its zone are left.
func (s *session) die(rt *rapid.T) {
	h := s.draw(rt)
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

func (s *session) restart(rt *rapid.T) {
	h := s.draw(rt)
	s.start(h, mesh.Incarnation(s.clock.Now().UnixNano()))
	s.lives[h.self.Host] = h.self.Life
	s.watch(rt, h)
}

func (s *session) pause(rt *rapid.T) {
	s.faulty = true
	h := s.draw(rt)
	h.paused = true
	s.run(time.Duration(rapid.IntRange(1, 90).Draw(rt, "tenths")) * 100 * time.Millisecond)
	h.paused = false
}

func (s *session) cutZone(rt *rapid.T) {
	s.faulty = true
	isCut := rapid.Bool().Draw(rt, "cut")
	s.cut = func(from, to *host) bool { return isCut && from.self.Zone != to.self.Zone }
}

func (s *session) check(rt *rapid.T) {
	if !s.faulty && s.wronglyGone() {
		rt.Fatalf("a member that lives was declared gone without loss, pause or cut")
	}
}

// wronglyGone reports whether a node holds the present life of a host that
// runs to be dead.
func (s *session) wronglyGone() bool {
	for _, h := range s.nodes {
		for _, other := range s.nodes {
			m := h.state(other.self.Host)
			if !h.down && !other.down && m.State == mesh.Dead && m.Life == s.lives[other.self.Host] {
				return true
			}
		}
	}
	return false
}

// heal ends all faults and waits until every view is the truth.
func (s *session) heal(rt *rapid.T) {
	s.loss = 0
	s.cut = func(_, _ *host) bool { return false }
	end := s.clock.Now().Add(2 * time.Minute)
	for !s.truth() {
		if s.clock.Now().After(end) {
			rt.Fatalf("the views did not become the truth within 2 minutes: %s", s.views())
		}
		s.run(100 * time.Millisecond)
	}
	if gone := s.count(controllers.EventDeclaredGone); gone > 200 {
		rt.Fatalf("%d deaths declared", gone)
	}
}

// truth reports whether all that live are seen alive, and no dead one is.
func (s *session) truth() bool {
	for _, other := range s.nodes {
		if other.down && !s.nobodySees(other) {
			return false
		}
	}
	return s.whole()
}

func (s *session) nobodySees(dead *host) bool {
	for _, h := range s.nodes {
		state := h.state(dead.self.Host).State
		if !h.down && (state == mesh.Alive || state == mesh.Suspect || state == mesh.Leaving) {
			return false
		}
	}
	return true
}

// views writes down what each node that runs sees.
func (s *session) views() string {
	text := ""
	for _, h := range s.nodes {
		if h.down {
			continue
		}
		text += "\n" + string(h.self.Host) + " (" + h.tables.Self.Load().Standing.String() + "):"
		for _, other := range s.nodes {
			text += " " + string(other.self.Host) + "=" + h.state(other.self.Host).State.String()
		}
	}
	return text
}
