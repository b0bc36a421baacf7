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

// operators appends changes to a fleet's log and computes the expected state by
// applying every record that it appended.
type operators struct {
	t            *testing.T
	fleet        *stepped.Fleet
	state        change.State
	configs      map[mesh.Version]mesh.Config // by released version
	releaseCount int
}

func newOperators(t *testing.T, f *stepped.Fleet) *operators {
	return &operators{t: t, fleet: f, configs: map[mesh.Version]mesh.Config{0: {}}}
}

// write appends a record and applies it to the state. It reports whether the log
// accepted it.
func (o *operators) write(r change.Record) bool {
	o.t.Helper()
	data, err := record.EncodeChange(r)
	must.NoError(o.t, err)
	offset := o.fleet.Append(eventlog.ConfigStream, data)
	if offset == 0 {
		return false
	}
	o.state, _ = o.state.Apply(offset, r)
	o.configs[o.state.Version] = o.state.Config
	return true
}

// release proposes, approves and releases a change that adds a host to the
// inventory. It returns the newest released version.
func (o *operators) release() mesh.Version {
	o.t.Helper()
	o.releaseCount++
	id := fmt.Sprintf("p%d", o.releaseCount)
	host := mesh.HostID(fmt.Sprintf("host-%d", o.releaseCount))
	edits := mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}},
		PutHosts:    []mesh.Host{{ID: host, Zone: "fes", Service: "desk"}},
	}
	operator := change.Principal{Name: "op", Role: change.Operator}
	customer := change.Principal{Name: "cu", Role: change.CustomerRole, Customer: "menders"}
	o.write(change.Record{ID: id, Kind: change.Propose, Author: operator, Proposal: id, Base: o.state.Version, Edits: &edits})
	digest := o.state.Proposals[id].Digest
	o.write(change.Record{ID: id + "a", Kind: change.Approve, Author: customer, Proposal: id, Digest: digest})
	o.write(change.Record{ID: id + "r", Kind: change.Release, Author: operator, Proposal: id, Digest: digest})
	return o.state.Version
}

// startZones starts perZone nodes in each zone and updates the membership.
func startZones(f *stepped.Fleet, zones []mesh.Zone, perZone int) {
	for _, zone := range zones {
		for i := range perZone {
			f.StartNode(mesh.HostID(fmt.Sprintf("%s-%d", zone, i)), zone, "morocco")
		}
	}
	f.UpdateMembership()
}

// allServe returns a condition that is true when every running node serves the
// version.
func allServe(f *stepped.Fleet, v mesh.Version) func() bool {
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

// A release reaches 48 nodes in four zones within a second, and no more than
// eight of them read the log.
func TestReleaseReachesEveryNode(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 1, MinDelay: time.Millisecond, CheckLockOrder: true})
	o := newOperators(t, f)
	startZones(f, zones, 12)
	f.RunFor(5 * time.Second)
	version := o.release()
	must.NotEq(t, 0, version)
	must.True(t, f.RunUntil(time.Second, allServe(f, version)))
	must.LessEq(t, 8, countReaders(f))
}

func countReaders(f *stepped.Fleet) (count int) {
	for _, n := range f.Nodes {
		if n.Tables.Role.Load().ReadsLog {
			count++
		}
	}
	return count
}

// All nodes restart with empty tables after the log dropped the oldest records:
// they recover from the newest snapshot and the records after it.
func TestColdStartFromSnapshotAndTail(t *testing.T) {
	f := stepped.New(stepped.Options{
		Seed: 2, MinDelay: time.Millisecond, CheckLockOrder: true, LogOptions: standin.Options{MaxRecords: 250},
	})
	o := newOperators(t, f)
	startZones(f, zones, 3)
	f.RunFor(5 * time.Second)
	for range 100 {
		o.release()
		f.RunFor(time.Second)
	}
	for _, host := range f.Hosts() {
		f.StopNode(host)
	}
	startZones(f, zones, 3)
	must.True(t, f.RunUntil(10*time.Second, allServe(f, o.state.Version)), must.Sprintf("%v", f.EventCounts))
}
