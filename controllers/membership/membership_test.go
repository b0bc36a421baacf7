package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	controllers "github.com/marigoldshelf/marigoldshelf/controllers/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// threeZones returns a fleet of three zones with six hosts each, in which every
// node has joined.
func threeZones(t testing.TB, seed uint64) *network {
	n := newNetwork(t, seed, blackboard.PanicOnNested())
	n.add("fes", 6)
	n.add("meknes", 6)
	n.add("tetouan", 6)
	took := n.runUntil("every node sees every node alive", 15*time.Second, n.converged)
	t.Logf("joined within %v, %d appends", took, len(n.appends))
	n.run(3 * time.Second)
	return n
}

func TestDeadMemberIsGoneEverywhere(t *testing.T) {
	n := threeZones(t, 1)
	dead := n.nodes[3]
	dead.down = true
	took := n.runUntil("dead everywhere", 5*time.Second, func() bool { return n.allSee(dead.self.Host, mesh.Dead) })
	t.Logf("dead everywhere after %v", took)
}

func TestQuietFleetSuspectsNobody(t *testing.T) {
	n := threeZones(t, 2)
	n.run(60 * time.Second)
	must.Eq(t, 0, n.eventCount(controllers.EventSuspected))
	must.Eq(t, 0, n.eventCount(controllers.EventDeclaredGone))
	must.LessEq(t, 12, len(n.appends), must.Sprint("nodes must not append heartbeats to the stream"))
	must.LessEq(t, 9*10, n.reads, must.Sprint("nine relays read the stream twice a minute"))
}
