package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	controllers "github.com/marigoldshelf/marigoldshelf/controllers/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// threeZones returns a joined fleet of three zones of six hosts.
func threeZones(t testing.TB, seed uint64) *network {
	n := newNetwork(t, seed, blackboard.CheckOrder())
	n.add("fes", 6)
	n.add("meknes", 6)
	n.add("tetouan", 6)
	took := n.until("all know all", 15*time.Second, n.whole)
	t.Logf("joined within %v, %d appends", took, len(n.appends))
	n.run(3 * time.Second)
	return n
}

func TestDeadMemberIsGoneEverywhere(t *testing.T) {
	n := threeZones(t, 1)
	dead := n.nodes[3]
	dead.down = true
	took := n.until("dead everywhere", 5*time.Second, func() bool { return n.everyone(dead.self.Host, mesh.Dead) })
	t.Logf("dead everywhere after %v", took)
}

func TestQuietFleetSuspectsNobody(t *testing.T) {
	n := threeZones(t, 2)
	n.run(60 * time.Second)
	must.Eq(t, 0, n.count(controllers.EventSuspected))
	must.Eq(t, 0, n.count(controllers.EventDeclaredGone))
	must.LessEq(t, 12, len(n.appends), must.Sprint("the stream is a meeting place, not a heartbeat"))
	must.LessEq(t, 9*10, n.reads, must.Sprint("nine relays look twice a minute"))
}
