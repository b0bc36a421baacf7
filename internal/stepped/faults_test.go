package stepped_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/internal/stepped"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// TestMain fixes the seed and length of the fuzz test, so that every run has the
// same result. Flags of rapid on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.steps": "40", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type hostPair struct{ a, b mesh.HostID }

// partitionPairs blocks messages between the given pairs of hosts in both
// directions; it replaces the previous partition.
func partitionPairs(f *stepped.Fleet, pairs ...hostPair) {
	blocked := make(map[hostPair]bool)
	for _, p := range pairs {
		blocked[p], blocked[hostPair{p.b, p.a}] = true, true
	}
	f.Partitioned = func(from, to mesh.HostID) bool { return blocked[hostPair{from, to}] }
}

// A host must not serve an older version after a restart. It restarts while the
// platform is down and the only peer with its last version is unreachable: it
// receives an older version from another peer but serves none. When the partition
// heals, it serves the last version.
func TestRestartedHostWaitsForAPeerWithItsVersion(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 3, MinDelay: time.Millisecond, CheckLockOrder: true})
	o := newOperators(t, f)
	startZones(f, zones[:1], 3)
	f.RunFor(3 * time.Second)
	old := o.release()
	must.True(t, f.RunUntil(5*time.Second, allServe(f, old)))
	lagging, peer, host := mesh.HostID("fes-0"), mesh.HostID("fes-1"), mesh.HostID("fes-2")
	partitionPairs(f, hostPair{lagging, ""}, hostPair{lagging, peer}, hostPair{lagging, host})
	version := o.release()
	must.True(t, f.RunUntil(20*time.Second, func() bool {
		return f.Nodes[peer].Version() == version && f.Nodes[host].Version() == version
	}))
	f.Log.SetFaults(standin.Faults{Down: true})
	partitionPairs(f, hostPair{lagging, peer}, hostPair{host, peer})
	f.StartNode(host, "fes", "morocco")
	f.UpdateMembership()
	f.RunFor(60 * time.Second)
	must.Eq(t, old, f.Nodes[host].Tables.Changes.Load().Version) // received the older version
	must.Eq(t, 0, f.Nodes[host].Version())                       // serves none
	f.Partitioned = nil
	must.True(t, f.RunUntil(30*time.Second, allServe(f, version)))
	must.True(t, f.Nodes[host].Tables.Floor.Load().FromPeers)
}

// A zone that cannot reach the platform receives a release from nodes of other
// zones within two seconds.
func TestZoneWithoutPlatformGetsReleasesFromOtherZones(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 4, MinDelay: time.Millisecond, CheckLockOrder: true})
	o := newOperators(t, f)
	startZones(f, zones, 4)
	f.RunFor(5 * time.Second)
	f.Partitioned = func(from, to mesh.HostID) bool { return to == "" && f.Nodes[from].Member.Zone == "fes" }
	f.RunFor(30 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(2*time.Second, allServe(f, version)), must.Sprintf("%v", f.EventCounts))
}

// The platform is down for three hours and its records and snapshots expire.
// Nodes keep serving the version, a restarted node receives it from its peers,
// and after the outage releases and a restart of the whole fleet work again.
func TestPlatformDownForHoursThenBack(t *testing.T) {
	f := stepped.New(stepped.Options{
		Seed: 5, MinDelay: time.Millisecond, LogOptions: standin.Options{Retention: time.Hour},
	})
	o := newOperators(t, f)
	startZones(f, zones[:2], 3)
	f.RunFor(3 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(5*time.Second, allServe(f, version)))
	f.Log.SetFaults(standin.Faults{Down: true})
	f.RunFor(3 * time.Hour) // all records and snapshots expire
	must.True(t, allServe(f, version)())
	f.StartNode("fes-1", "fes", "morocco")
	f.UpdateMembership()
	must.True(t, f.RunUntil(30*time.Second, allServe(f, version)))
	f.Log.SetFaults(standin.Faults{})
	f.RunFor(15 * time.Minute) // until a new snapshot is written
	version = o.release()
	must.True(t, f.RunUntil(10*time.Second, allServe(f, version)))
	for _, host := range f.Hosts() {
		f.StopNode(host)
	}
	startZones(f, zones[:2], 3)
	must.True(t, f.RunUntil(30*time.Second, allServe(f, version)))
}

// A zone of 100 nodes starts at once. Only its readers read the platform's log,
// which bounds the load on the platform, and all nodes serve the newest version
// within 10 s.
func TestOnlyReadersReadTheLogWhenAZoneStartsAtOnce(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 6, MinDelay: time.Millisecond, LogOptions: standin.Options{MaxRecords: 250}})
	o := newOperators(t, f)
	startZones(f, zones[:2], 3)
	f.RunFor(3 * time.Second)
	for range 100 {
		o.release()
		f.RunFor(time.Second)
	}
	reads := f.Traffic.LogReads
	for i := range 100 {
		f.StartNode(mesh.HostID(fmt.Sprintf("tangier-%d", i)), "tangier", "morocco")
	}
	f.RunFor(300 * time.Millisecond)
	f.UpdateMembership()
	must.True(t, f.RunUntil(10*time.Second, allServe(f, o.state.Version)), must.Sprintf("%v", f.EventCounts))
	must.LessEq(t, 20, f.Traffic.LogReads-reads)
}

// A node whose record digest differs from that of the peer it pulls from restores
// a snapshot from another peer. The version it serves does not decrease
// meanwhile.
func TestDivergedNodeRestoresASnapshotFromAnotherPeer(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 7, MinDelay: time.Millisecond, CheckLockOrder: true})
	o := newOperators(t, f)
	startZones(f, zones[:1], 6)
	f.RunFor(3 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(5*time.Second, allServe(f, version)))
	var diverged *stepped.Node
	for _, host := range f.Hosts() {
		if n := f.Nodes[host]; !n.Tables.Role.Load().ReadsLog {
			diverged = n
		}
	}
	want := diverged.Tables.Feed.Load().Digest
	diverged.Tables.Board.Do(func(tx *blackboard.Tx) {
		feed := diverged.Tables.Feed.Get(tx)
		feed.Digest = distribution.Digest{1}
		diverged.Tables.Feed.Set(tx, feed)
	}, diverged.Tables.Feed.Write())
	must.True(t, f.RunUntil(time.Minute, func() bool { return diverged.Tables.Feed.Load().Digest == want }))
	must.GreaterEq(t, 1, f.EventCounts[[2]string{"distribution", "peer_diverged"}])
	must.Eq(t, version, diverged.Version())
	must.Eq(t, o.state.Config, diverged.Tables.Changes.Load().Config)
}

// Appends of a snapshot take effect but their responses are lost, so the snapshot
// is written again. The duplicate chunks do not corrupt it.
func TestSnapshotIsCompleteWhenAppendResponsesAreLost(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 8, MinDelay: time.Millisecond, CheckLockOrder: true})
	o := newOperators(t, f)
	startZones(f, zones[:1], 3)
	f.RunFor(3 * time.Second)
	o.release()
	f.Log.SetFaults(standin.Faults{LoseResponses: true})
	f.RunFor(10*time.Minute + 10*time.Second)
	f.Log.SetFaults(standin.Faults{})
	f.RunFor(10 * time.Second)
	bounds, err := f.Log.Bounds(t.Context(), eventlog.SnapshotsStream)
	must.NoError(t, err)
	must.Greater(t, 1, bounds.Newest)
	for _, n := range f.Nodes {
		must.Eq(t, o.state.Offset, n.Tables.SnapshotCatalog.Load().Newest.Offset)
		must.Eq(t, 0, n.Tables.SnapshotCatalog.Load().CorruptCount)
	}
}

// Releases every few seconds, so that no read of the log returns empty, reach
// every node within a second: no node leaves its parent for another source. The
// same holds after an outage of the platform, during which all nodes tried other
// sources.
func TestFrequentChangesReachEveryNodeWithinASecond(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 9, MinDelay: time.Millisecond})
	o := newOperators(t, f)
	startZones(f, zones[:2], 15)
	f.RunFor(3 * time.Second)
	for range 60 {
		version := o.release()
		must.True(t, f.RunUntil(time.Second, allServe(f, version)), must.Sprintf("version %d: %v", version, f.EventCounts))
		f.RunFor(5 * time.Second)
	}
	f.Log.SetFaults(standin.Faults{Down: true})
	f.RunFor(10 * time.Minute)
	f.Log.SetFaults(standin.Faults{})
	f.RunFor(15 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(time.Second, allServe(f, version)), must.Sprintf("%v", f.EventCounts))
}
