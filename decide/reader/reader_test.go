package reader_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/reader"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func ranked(count int) []mesh.HostID {
	hosts := make([]mesh.HostID, count)
	for i := range hosts {
		hosts[i] = mesh.HostID(fmt.Sprint("h", i))
	}
	return hosts
}

// Guards against a zone of hundreds of nodes that all poll the store, and against
// a node that feeds so many others that its link cannot carry a document to them
// in time.
func TestFewNodesReadAndEachFeedsFew(t *testing.T) {
	for _, size := range []int{7, 49, 200} {
		hosts := ranked(size)
		readers, children := 0, make(map[mesh.HostID]int)
		for i, id := range hosts {
			role := reader.RoleOf(id, hosts)
			if role.Reads {
				readers++
				continue
			}
			must.Less(t, i, slices.Index(hosts, role.Parents[0]), must.Sprint("a parent ranks before its children, so there is no cycle"))
			must.SliceNotContains(t, role.Parents, id)
			children[role.Parents[0]]++
		}
		must.Eq(t, 3, readers)
		for id, count := range children {
			must.LessEq(t, 8, count, must.Sprint(size, id))
		}
	}
}

// A node that knows few others, as after its start, does not depend on them.
func TestSmallZoneReads(t *testing.T) {
	for size := range 7 {
		for _, id := range ranked(size) {
			must.True(t, reader.RoleOf(id, ranked(size)).Reads)
		}
	}
	must.True(t, reader.RoleOf("unknown", ranked(20)).Reads)
}
