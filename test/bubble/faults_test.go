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
	// inForceWithin is the users' bound from release to in force everywhere.
	inForceWithin = 6 * time.Second
	// deadWithin is the users' bound until a dead host gets no work anywhere.
	deadWithin = 5 * time.Second
	// deadline is that of every rule.
	deadline = 5 * time.Second
)

// started is a fleet of two zones with a first version in force everywhere.
func started(t *testing.T) (*bubble.Fleet, mesh.Version) {
	t.Helper()
	f := pair(t)
	version := f.Release("fes-1", "first", 0, deadline)
	f.AwaitVersion(version, everyone...)
	for _, id := range everyone {
		f.Eventually("an answer through "+string(id), func() bool {
			return f.Call(id, lookup("warm-"+string(id))).Status == http.StatusOK
		})
	}
	return f, version
}

func TestEveryHostDiesAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := started(t)
		defer f.Close()
		for _, h := range f.Hosts {
			h.Backend.SetDelay(50 * time.Millisecond) // so that deaths meet runs under way
		}
		versions := f.WatchVersions(everyone...)
		load := f.StartLoad("desk", mesh.Booking, 100*time.Millisecond, everyone...)
		time.Sleep(time.Second)
		for _, id := range everyone {
			f.Kill(id)
		}
		time.Sleep(time.Second)
		for _, id := range everyone {
			f.Start(id)
		}
		took := f.AwaitVersion(version, everyone...)
		must.Less(t, inForceWithin, took)
		time.Sleep(deadWithin)
		back := time.Now()
		time.Sleep(2 * time.Second)
		answered, sent := load.AnsweredSince(back)
		must.Eq(t, sent, answered, must.Sprint("every booking is answered once the herd is back"))
		o := load.Check(mesh.Booking)
		versions.Check()
		t.Logf("in force again after %v; %+v", took, o)
	})
}

func TestZoneCutOffFromAllServesOnAndCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := started(t)
		defer f.Close()
		versions := f.WatchVersions(everyone...)
		load := f.StartLoad("desk", mesh.Booking, 100*time.Millisecond, everyone...)
		f.CutZones("fes")
		cut := time.Now()
		second := f.Release("meknes-1", "second", version, 2*deadline)
		f.AwaitVersion(second, "meknes-1", "meknes-2")
		time.Sleep(time.Minute)
		s, ok := f.Status("fes-1")
		must.True(t, ok)
		must.Eq(t, version, s.Version)
		answered, sent := load.AnsweredSince(cut.Add(2 * deadWithin))
		must.Eq(t, sent, answered, must.Sprint("both zones serve on once the cut was noticed"))
		f.CutZones()
		took := f.AwaitVersion(second, everyone...)
		must.Less(t, 2*inForceWithin, took)
		o := load.Check(mesh.Booking)
		versions.Check()
		t.Logf("caught up after %v; %+v", took, o)
	})
}

func TestZoneCutOffFromThePlatformGetsVersionsThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := started(t)
		defer f.Close()
		f.CutPlatform("fes")
		time.Sleep(time.Minute)
		second := f.Release("meknes-1", "second", version, 2*deadline)
		took := f.AwaitVersion(second, everyone...)
		must.Less(t, inForceWithin, took)
		t.Logf("in force after %v", took)
	})
}

func TestHostReturnsWhileThePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := started(t)
		defer f.Close()
		second := f.Release("fes-1", "second", version, 2*deadline)
		f.AwaitVersion(second, everyone...)
		versions := f.WatchVersions(everyone...)
		f.Store.SetFaults(standin.Faults{Down: true})
		f.Kill("fes-2")
		time.Sleep(10 * time.Second)
		f.Start("fes-2")
		took := f.AwaitVersion(second, "fes-2")
		versions.Check()
		must.Eq(t, http.StatusOK, f.Call("fes-2", lookup("after")).Status)
		t.Logf("serves again after %v", took)
	})
}

func TestVetoBeforeReleaseWinsAcrossAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := started(t)
		defer f.Close()
		digest := f.Propose("fes-1", "second", version, 2*deadline)
		status, _ := f.Answer("fes-1", change.Approve, "second", digest)
		must.Eq(t, http.StatusOK, status)
		f.CutZones("fes")
		status, _ = f.Answer("meknes-1", change.Veto, "second", digest)
		must.Eq(t, http.StatusOK, status)
		// The operator on the other side cannot reach the log, and is not told
		// that anything was released.
		status, done := f.Answer("fes-1", change.Release, "second", digest)
		must.NotEq(t, http.StatusOK, status)
		must.Nil(t, done.Outcome)
		f.CutZones()
		f.Eventually("the release is refused on both sides", func() bool {
			status, _ := f.Answer("fes-1", change.Release, "second", digest)
			return status == http.StatusConflict
		})
		for _, id := range everyone {
			s, ok := f.Status(id)
			must.True(t, ok)
			must.Eq(t, version, s.Version)
		}
	})
}

func TestLostAnswersAndACutAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := started(t)
		defer f.Close()
		versions := f.WatchVersions(everyone...)
		load := f.StartLoad("desk", mesh.Booking, 100*time.Millisecond, everyone...)
		f.Store.SetFaults(standin.Faults{LoseAnswers: true})
		f.CutZones("meknes")
		// Appends take effect and their answers are lost: the operator learns
		// the outcome by reading it back.
		second := f.Release("fes-1", "second", version, 2*deadline)
		f.Kill("meknes-2")
		time.Sleep(10 * time.Second)
		f.CutZones()
		f.Start("meknes-2")
		took := f.AwaitVersion(second, everyone...)
		must.Less(t, 2*inForceWithin, took)
		f.Store.SetFaults(standin.Faults{})
		time.Sleep(deadWithin)
		o := load.Check(mesh.Booking)
		versions.Check()
		t.Logf("in force everywhere %v after healing; %+v", took, o)
	})
}

func TestDeadHostGetsNoWorkAndNobodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := started(t)
		defer f.Close()
		load := f.StartLoad("desk", mesh.Lookup, 20*time.Millisecond, "fes-1", "meknes-1")
		time.Sleep(time.Second)
		f.Kill("fes-2")
		time.Sleep(deadWithin)
		after := time.Now()
		time.Sleep(2 * time.Second)
		answered, sent := load.AnsweredSince(after)
		must.Eq(t, sent, answered)
		s, ok := f.Status("meknes-1")
		must.True(t, ok)
		for _, m := range s.Members {
			if m.Host == "fes-2" {
				must.Eq(t, mesh.Dead, m.State, must.Sprint("known dead across zones within the bound"))
			}
		}
		o := load.Check(mesh.Lookup)
		must.Zero(t, o.NotRun+o.MayHaveRun, must.Sprintf("lookups are tried again elsewhere: %+v", o))
	})
}

// TestPlannedStopCutsNothing stops a node while uploads of four seconds run
// there: longer than a stopping node goes on without need.
func TestPlannedStopCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, version := started(t)
		defer f.Close()
		f.AwaitVersion(f.Release("fes-1", "patient", version, 4*deadline), everyone...)
		for _, h := range f.Hosts {
			h.Backend.SetDelay(4 * time.Second)
		}
		load := f.StartLoad("desk", mesh.Upload, time.Second, "fes-1", "meknes-1")
		time.Sleep(5 * time.Second)
		f.Stop("fes-2")
		time.Sleep(5 * time.Second)
		o := load.Check(mesh.Upload)
		must.Zero(t, o.NotRun+o.MayHaveRun+o.NoAnswer, must.Sprintf("a planned stop cuts nothing: %+v", o))
	})
}
