package bubble_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/bubble"
)

const (
	// maxDistributionTime is the users' bound on the time from a release until
	// its version is in force at every node.
	maxDistributionTime = 6 * time.Second
	// maxFailoverTime is the users' bound on the time from a host's death until
	// no node sends it requests.
	maxFailoverTime = 5 * time.Second
	// ruleDeadline is the deadline of every rule.
	ruleDeadline = 5 * time.Second
)

// newServingFleet returns a two-zone fleet whose nodes all answer callers, and
// the version in force. Every rule has the deadline ruleDeadline.
func newServingFleet(t *testing.T) (*bubble.Fleet, mesh.Version) {
	t.Helper()
	f := newTwoZoneFleet(t)
	version := f.Release("fes-1", "first", 0, ruleDeadline)
	f.AwaitVersion(version, allHosts...)
	for _, id := range allHosts {
		f.Eventually("status 200 through "+string(id), func() bool {
			return f.Call(id, lookup("warm-"+string(id))).Status == http.StatusOK
		})
	}
	return f, version
}

// TestFleetRecoversAfterAllHostsDie kills all hosts under load and restarts them
// together, so that no node has a configuration and all read the platform at
// once. The version must be in force again within the bound for a release, no
// host may go back to an older version, and no booking may run twice.
func TestFleetRecoversAfterAllHostsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := newServingFleet(t)
		defer f.Close()
		for _, h := range f.Hosts {
			h.Backend.SetDelay(50 * time.Millisecond) // bookings are running when hosts die
		}
		versions := f.MonitorVersions(allHosts...)
		load := f.StartLoad("desk", mesh.Booking, 100*time.Millisecond, allHosts...)
		time.Sleep(time.Second)
		for _, id := range allHosts {
			f.Kill(id)
		}
		time.Sleep(time.Second)
		for _, id := range allHosts {
			f.Start(id)
		}
		took := f.AwaitVersion(version, allHosts...)
		must.Less(t, maxDistributionTime, took)
		time.Sleep(maxFailoverTime)
		recovered := time.Now()
		time.Sleep(2 * time.Second)
		answered, sent := load.CountAnsweredSince(recovered)
		must.Eq(t, sent, answered, must.Sprint("bookings sent after the recovery that were answered"))
		outcome := load.StopAndCheck(mesh.Booking)
		versions.StopAndCheck()
		t.Logf("version in force at all hosts after %v; %+v", took, outcome)
	})
}

// TestIsolatedZoneServesAndCatchesUp partitions a zone from the other zone and
// from the platform for a minute, during which a version is released. Both zones
// must answer their callers, the isolated one with its old version, and it must
// catch up once the partition ends.
func TestIsolatedZoneServesAndCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := newServingFleet(t)
		defer f.Close()
		versions := f.MonitorVersions(allHosts...)
		load := f.StartLoad("desk", mesh.Booking, 100*time.Millisecond, allHosts...)
		f.PartitionZones("fes")
		partitionedAt := time.Now()
		second := f.Release("meknes-1", "second", version, 2*ruleDeadline)
		f.AwaitVersion(second, "meknes-1", "meknes-2")
		time.Sleep(time.Minute)
		s, ok := f.Status("fes-1")
		must.True(t, ok)
		must.Eq(t, version, s.Version)
		answered, sent := load.CountAnsweredSince(partitionedAt.Add(2 * maxFailoverTime))
		must.Eq(t, sent, answered, must.Sprint("bookings sent after the partition was detected that were answered"))
		f.PartitionZones()
		took := f.AwaitVersion(second, allHosts...)
		must.Less(t, 2*maxDistributionTime, took)
		outcome := load.StopAndCheck(mesh.Booking)
		versions.StopAndCheck()
		t.Logf("caught up %v after the partition; %+v", took, outcome)
	})
}

// TestZoneWithoutPlatformGetsVersionsFromPeers partitions a zone from the
// platform only. Its nodes must get a new version from peers in the other zone
// within the same bound.
func TestZoneWithoutPlatformGetsVersionsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := newServingFleet(t)
		defer f.Close()
		f.PartitionPlatform("fes")
		time.Sleep(time.Minute)
		second := f.Release("meknes-1", "second", version, 2*ruleDeadline)
		took := f.AwaitVersion(second, allHosts...)
		must.Less(t, maxDistributionTime, took)
		t.Logf("version in force at all hosts after %v", took)
	})
}

// TestHostRestartsDuringPlatformOutage restarts a host that cannot read the log.
// It must get the newest version from its peers and never serve an older one.
func TestHostRestartsDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := newServingFleet(t)
		defer f.Close()
		second := f.Release("fes-1", "second", version, 2*ruleDeadline)
		f.AwaitVersion(second, allHosts...)
		versions := f.MonitorVersions(allHosts...)
		f.Store.SetFaults(standin.Faults{Down: true})
		f.Kill("fes-2")
		time.Sleep(10 * time.Second)
		f.Start("fes-2")
		took := f.AwaitVersion(second, "fes-2")
		versions.StopAndCheck()
		must.Eq(t, http.StatusOK, f.Call("fes-2", lookup("after")).Status)
		t.Logf("version in force at the restarted host after %v", took)
	})
}

// TestVetoBeforeReleaseWinsAcrossPartition vetoes an approved proposal in one zone
// while the other zone, which cannot see the veto, tries to release it. The
// proposal must not be released, neither during the partition nor afterwards.
func TestVetoBeforeReleaseWinsAcrossPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := newServingFleet(t)
		defer f.Close()
		digest := f.Propose("fes-1", "second", version, 2*ruleDeadline)
		status, _ := f.SubmitDecision("fes-1", change.Approve, "second", digest)
		must.Eq(t, http.StatusOK, status)
		f.PartitionZones("fes")
		status, _ = f.SubmitDecision("meknes-1", change.Veto, "second", digest)
		must.Eq(t, http.StatusOK, status)
		// The operator in the isolated zone cannot reach the log, so the request
		// must not report a release.
		status, submitted := f.SubmitDecision("fes-1", change.Release, "second", digest)
		must.NotEq(t, http.StatusOK, status)
		must.Nil(t, submitted.Outcome)
		f.PartitionZones()
		f.Eventually("status 409 for the release after the partition", func() bool {
			status, _ := f.SubmitDecision("fes-1", change.Release, "second", digest)
			return status == http.StatusConflict
		})
		for _, id := range allHosts {
			s, ok := f.Status(id)
			must.True(t, ok)
			must.Eq(t, version, s.Version)
		}
	})
}

// TestLostAppendResponsesDuringPartition releases a version while one zone is isolated,
// one of its hosts dies, and the platform loses the responses to appends. The
// node must report the release, and the version must reach every host when the
// partition ends.
func TestLostAppendResponsesDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := newServingFleet(t)
		defer f.Close()
		versions := f.MonitorVersions(allHosts...)
		load := f.StartLoad("desk", mesh.Booking, 100*time.Millisecond, allHosts...)
		f.Store.SetFaults(standin.Faults{LoseResponses: true})
		f.PartitionZones("meknes")
		// Appends take effect but their responses are lost: the node determines
		// the outcome by reading the log.
		second := f.Release("fes-1", "second", version, 2*ruleDeadline)
		f.Kill("meknes-2")
		time.Sleep(10 * time.Second)
		f.PartitionZones()
		f.Start("meknes-2")
		took := f.AwaitVersion(second, allHosts...)
		must.Less(t, 2*maxDistributionTime, took)
		f.Store.SetFaults(standin.Faults{})
		time.Sleep(maxFailoverTime)
		outcome := load.StopAndCheck(mesh.Booking)
		versions.StopAndCheck()
		t.Logf("version in force at all hosts %v after the partition; %+v", took, outcome)
	})
}

// TestDeadHostGetsNoWork kills a host under lookups through two other hosts. After
// the failover bound every lookup must be answered and the other zone must list
// the host as dead; lookups that were sent to it must be retried elsewhere, not
// refused.
func TestDeadHostGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newServingFleet(t)
		defer f.Close()
		load := f.StartLoad("desk", mesh.Lookup, 20*time.Millisecond, "fes-1", "meknes-1")
		time.Sleep(time.Second)
		f.Kill("fes-2")
		time.Sleep(maxFailoverTime)
		failedOver := time.Now()
		time.Sleep(2 * time.Second)
		answered, sent := load.CountAnsweredSince(failedOver)
		must.Eq(t, sent, answered)
		s, ok := f.Status("meknes-1")
		must.True(t, ok)
		for _, m := range s.Members {
			if m.Host == "fes-2" {
				must.Eq(t, mesh.Dead, m.State, must.Sprint("state of the dead host in the other zone"))
			}
		}
		outcome := load.StopAndCheck(mesh.Lookup)
		must.Zero(t, outcome.NotRun+outcome.MayHaveRun, must.Sprintf("refused lookups: %+v", outcome))
	})
}

// TestPlannedStopInterruptsNoUpload stops a node while its backend server runs
// uploads of four seconds each, which is longer than the grace period of two
// seconds after which an idle node ends. None may be interrupted.
func TestPlannedStopInterruptsNoUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := newServingFleet(t)
		defer f.Close()
		f.AwaitVersion(f.Release("fes-1", "patient", version, 4*ruleDeadline), allHosts...)
		for _, h := range f.Hosts {
			h.Backend.SetDelay(4 * time.Second)
		}
		load := f.StartLoad("desk", mesh.Upload, time.Second, "fes-1", "meknes-1")
		time.Sleep(5 * time.Second)
		f.Stop("fes-2")
		time.Sleep(5 * time.Second)
		outcome := load.StopAndCheck(mesh.Upload)
		must.Zero(t, outcome.NotRun+outcome.MayHaveRun+outcome.NoResponse, must.Sprintf("uploads not answered: %+v", outcome))
	})
}
