package stepped_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/internal/stepped"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// TestMain fixes the fuzz's seed, so that every run gives the same verdict;
// the flags of rapid ask for other and longer runs.
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

type pair struct{ a, b mesh.HostID }

// cutPairs cuts the named pairs of hosts, both ways.
func cutPairs(f *stepped.Fleet, pairs ...pair) {
	cut := make(map[pair]bool)
	for _, p := range pairs {
		cut[p], cut[pair{p.b, p.a}] = true, true
	}
	f.Cut = func(from, to mesh.HostID) bool { return cut[pair{from, to}] }
}

// A host comes back while the platform is down, and the only node that has the
// version it served cannot be reached: it serves nothing, although another
// node gives it an older version; once it is reached, it serves the right one.
func TestReturningHostWaitsForTheWitnessOfItsVersion(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 3, Delay: time.Millisecond, Check: true})
	o := newOperators(t, f)
	start(f, zones[:1], 3)
	f.Run(3 * time.Second)
	old := o.release()
	must.True(t, f.RunUntil(5*time.Second, inForce(f, old)))
	behind, witness, host := mesh.HostID("fes-0"), mesh.HostID("fes-1"), mesh.HostID("fes-2")
	cutPairs(f, pair{behind, ""}, pair{behind, witness}, pair{behind, host})
	version := o.release()
	must.True(t, f.RunUntil(20*time.Second, func() bool {
		return f.Nodes[witness].Version() == version && f.Nodes[host].Version() == version
	}))
	f.Log.SetFaults(standin.Faults{Down: true})
	cutPairs(f, pair{behind, witness}, pair{host, witness})
	f.Start(host, "fes", "morocco")
	f.Tell()
	f.Run(60 * time.Second)
	must.Eq(t, old, f.Nodes[host].Tables.Changes.Load().Version) // it has the older one
	must.Eq(t, 0, f.Nodes[host].Version())                       // and does not serve it
	f.Cut = nil
	must.True(t, f.RunUntil(30*time.Second, inForce(f, version)))
	must.True(t, f.Nodes[host].Tables.Floor.Load().ByPeers)
}

// A zone that is cut off from the platform gets a release through the others.
func TestZoneCutFromThePlatformFollowsTheOthers(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 4, Delay: time.Millisecond, Check: true})
	o := newOperators(t, f)
	start(f, zones, 4)
	f.Run(5 * time.Second)
	f.Cut = func(from, to mesh.HostID) bool { return to == "" && f.Nodes[from].Member.Zone == "fes" }
	f.Run(30 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(2*time.Second, inForce(f, version)), must.Sprintf("%v", f.Counts))
}

// Nothing is lost while the platform is down, and the fleet goes on with it.
func TestPlatformDownForHoursThenBack(t *testing.T) {
	f := stepped.New(stepped.Options{
		Seed: 5, Delay: time.Millisecond, Log: standin.Options{Retention: time.Hour},
	})
	o := newOperators(t, f)
	start(f, zones[:2], 3)
	f.Run(3 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(5*time.Second, inForce(f, version)))
	f.Log.SetFaults(standin.Faults{Down: true})
	f.Run(3 * time.Hour) // every record expires, snapshots too
	must.True(t, inForce(f, version)())
	f.Start("fes-1", "fes", "morocco")
	f.Tell()
	must.True(t, f.RunUntil(30*time.Second, inForce(f, version)))
	f.Log.SetFaults(standin.Faults{})
	f.Run(15 * time.Minute) // a snapshot is written again
	version = o.release()
	must.True(t, f.RunUntil(10*time.Second, inForce(f, version)))
	for _, host := range f.Hosts() {
		f.Stop(host)
	}
	start(f, zones[:2], 3)
	must.True(t, f.RunUntil(30*time.Second, inForce(f, version)))
}

// A whole zone of a hundred nodes comes back at once: only its readers touch
// the platform for the configuration, and all are back within seconds.
func TestHerdReturnsThroughItsReaders(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 6, Delay: time.Millisecond, Log: standin.Options{Records: 250}})
	o := newOperators(t, f)
	start(f, zones[:2], 3)
	f.Run(3 * time.Second)
	for range 100 {
		o.release()
		f.Run(time.Second)
	}
	reads := f.Traffic.Reads
	for i := range 100 {
		f.Start(mesh.HostID(fmt.Sprintf("tangier-%d", i)), "tangier", "morocco")
	}
	f.Run(300 * time.Millisecond)
	f.Tell()
	must.True(t, f.RunUntil(10*time.Second, inForce(f, o.state.Version)), must.Sprintf("%v", f.Counts))
	must.LessEq(t, 20, f.Traffic.Reads-reads)
}

// A node whose history differs from that of the node it asks takes a snapshot
// from another one; its version does not fall meanwhile.
func TestDivergedNodeTakesASnapshotFromAnother(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 7, Delay: time.Millisecond, Check: true})
	o := newOperators(t, f)
	start(f, zones[:1], 6)
	f.Run(3 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(5*time.Second, inForce(f, version)))
	var odd *stepped.Node
	for _, host := range f.Hosts() {
		if n := f.Nodes[host]; !n.Tables.Role.Load().Reader {
			odd = n
		}
	}
	right := odd.Tables.Feed.Load().Digest
	odd.Tables.Board.Do(func(tx *blackboard.Tx) {
		feed := odd.Tables.Feed.Get(tx)
		feed.Digest = spread.Digest{1}
		odd.Tables.Feed.Set(tx, feed)
	}, odd.Tables.Feed.Write())
	must.True(t, f.RunUntil(time.Minute, func() bool { return odd.Tables.Feed.Load().Digest == right }))
	must.GreaterEq(t, 1, f.Counts[[2]string{"distribution", "peer_diverged"}])
	must.Eq(t, version, odd.Version())
	must.Eq(t, o.state.Config, odd.Tables.Changes.Load().Config)
}

// A snapshot whose appends are answered only after they took effect, or not at
// all, is written again; what is there twice changes nothing.
func TestSnapshotIsWholeAlthoughAnswersAreLost(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 8, Delay: time.Millisecond, Check: true})
	o := newOperators(t, f)
	start(f, zones[:1], 3)
	f.Run(3 * time.Second)
	o.release()
	f.Log.SetFaults(standin.Faults{LoseAnswers: true})
	f.Run(10*time.Minute + 10*time.Second)
	f.Log.SetFaults(standin.Faults{})
	f.Run(10 * time.Second)
	bounds, err := f.Log.Bounds(t.Context(), eventlog.Snapshots)
	must.NoError(t, err)
	must.Greater(t, 1, bounds.Newest)
	for _, n := range f.Nodes {
		must.Eq(t, o.state.Offset, n.Tables.Shelf.Load().Best.Offset)
		must.Eq(t, 0, n.Tables.Shelf.Load().Corrupt)
	}
}

// Changes that come so often that no read of the log ever comes back empty
// leave every node with its parent; so does an outage that made all look for
// others, once the platform is back.
func TestSteadyChangesReachEveryNodeAtOnce(t *testing.T) {
	f := stepped.New(stepped.Options{Seed: 9, Delay: time.Millisecond})
	o := newOperators(t, f)
	start(f, zones[:2], 15)
	f.Run(3 * time.Second)
	for range 60 {
		version := o.release()
		must.True(t, f.RunUntil(time.Second, inForce(f, version)), must.Sprintf("version %d: %v", version, f.Counts))
		f.Run(5 * time.Second)
	}
	f.Log.SetFaults(standin.Faults{Down: true})
	f.Run(10 * time.Minute)
	f.Log.SetFaults(standin.Faults{})
	f.Run(15 * time.Second)
	version := o.release()
	must.True(t, f.RunUntil(time.Second, inForce(f, version)), must.Sprintf("%v", f.Counts))
}
