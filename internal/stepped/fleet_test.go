package stepped_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/internal/stepped"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// operators writes changes to a fleet's log and is the oracle: its state is
// the fold of all that it wrote.
type operators struct {
	t      *testing.T
	fleet  *stepped.Fleet
	state  change.State
	config map[mesh.Version]mesh.Config
	number int
}

func newOperators(t *testing.T, f *stepped.Fleet) *operators {
	return &operators{t: t, fleet: f, config: map[mesh.Version]mesh.Config{0: {}}}
}

// write appends a record and folds it; it reports whether the log took it.
func (o *operators) write(r change.Record) bool {
	o.t.Helper()
	data, err := record.EncodeChange(r)
	must.NoError(o.t, err)
	offset := o.fleet.Append(eventlog.Config, data)
	if offset == 0 {
		return false
	}
	o.state, _ = o.state.Apply(offset, r)
	o.config[o.state.Version] = o.state.Config
	return true
}

// release brings a change through: it adds a host to the inventory.
func (o *operators) release() mesh.Version {
	o.t.Helper()
	o.number++
	id := fmt.Sprintf("p%d", o.number)
	host := mesh.HostID(fmt.Sprintf("host-%d", o.number))
	edits := mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}},
		PutHosts:    []mesh.Host{{ID: host, Zone: "fes", Service: "desk"}},
	}
	operator := change.Principal{Name: "op", Role: change.Operator}
	customer := change.Principal{Name: "cu", Role: change.CustomerRole, Customer: "menders"}
	o.write(change.Record{ID: id, Kind: change.Propose, By: operator, Proposal: id, Base: o.state.Version, Edits: &edits})
	digest := o.state.Proposals[id].Digest
	o.write(change.Record{ID: id + "a", Kind: change.Approve, By: customer, Proposal: id, Digest: digest})
	o.write(change.Record{ID: id + "r", Kind: change.Release, By: operator, Proposal: id, Digest: digest})
	return o.state.Version
}

// start runs hosts in zones of the given size and lets them know each other.
func start(f *stepped.Fleet, zones []mesh.Zone, perZone int) {
	for _, zone := range zones {
		for i := range perZone {
			f.Start(mesh.HostID(fmt.Sprintf("%s-%d", zone, i)), zone, "morocco")
		}
	}
	f.Tell()
}

// inForce reports whether every running node serves a version.
func inForce(f *stepped.Fleet, v mesh.Version) func() bool {
	return func() bool {
		for _, n := range f.Nodes {
			if n.Version() != v {
				return false
			}
		}
		return true
	}
}

var zones = []mesh.Zone{"fes", "meknes", "tangier", "tetouan"}

func TestReleaseReachesEveryNode(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 1, Delay: time.Millisecond, Check: true})
	o := newOperators(t, f)
	start(f, zones, 12)
	f.Run(5 * time.Second)
	version := o.release()
	must.NotEq(t, 0, version)
	must.True(t, f.RunUntil(time.Second, inForce(f, version)))
	must.LessEq(t, 8, countReaders(f))
}

func countReaders(f *stepped.Fleet) (count int) {
	for _, n := range f.Nodes {
		if n.Tables.Role.Load().Reader {
			count++
		}
	}
	return count
}

// The records that a newcomer would need are gone from the log; the snapshot
// that was written in time is there.
func TestColdStartFromSnapshotAndTail(t *testing.T) {
	f := stepped.New(stepped.Options{
		Seed: 2, Delay: time.Millisecond, Check: true, Log: standin.Options{Records: 250},
	})
	o := newOperators(t, f)
	start(f, zones, 3)
	f.Run(5 * time.Second)
	for range 100 {
		o.release()
		f.Run(time.Second)
	}
	for _, host := range f.Hosts() {
		f.Stop(host)
	}
	start(f, zones, 3)
	must.True(t, f.RunUntil(10*time.Second, inForce(f, o.state.Version)), must.Sprintf("%v", f.Counts))
}
