package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
)

// Guards against a fleet that stays split after its start. The nodes of each zone
// join one another while datagrams to the other zone are lost, or while each node
// happens to pick its neighbor's address. They have read every announcement by
// then, so no later read shows them the other zone.
func TestZonesThatJoinApartFindEachOther(t *testing.T) {
	for seed := range uint64(20) {
		n := newNetwork(t, seed, blackboard.PanicOnNested())
		n.loss = 0.05
		n.partitioned = func(from, to *testNode) bool { return from.self.Zone != to.self.Zone }
		n.add("fes", 2)
		n.add("meknes", 2)
		n.run(12 * time.Second)
		for _, h := range n.nodes {
			must.True(t, h.tables.Self.Load().Joined, must.Sprintf("seed %d: %s has not joined its own zone", seed, h.self.Host))
		}
		n.partitioned = func(_, _ *testNode) bool { return false }
		n.runUntil("the zones have found each other", 20*time.Second, n.converged)
	}
}
