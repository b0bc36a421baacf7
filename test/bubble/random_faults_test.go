package bubble_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/bubble"
)

// faultSession is a fleet with the generator of its faults and changes.
type faultSession struct {
	*bubble.Fleet
	t      *testing.T
	random *rand.Rand
	dead   map[mesh.HostID]bool
	number int // of the last proposal
}

// injectFault starts or ends one random fault.
func (s *faultSession) injectFault() {
	id := allHosts[s.random.IntN(len(allHosts))]
	switch s.random.IntN(8) {
	case 0, 1:
		if !s.dead[id] {
			s.Kill(id)
			s.dead[id] = true
		}
	case 2, 3:
		s.restartDead()
	case 4:
		s.PartitionZones([]mesh.Zone{"fes", "meknes"}[s.random.IntN(2)])
	case 5:
		s.PartitionZones()
	case 6:
		s.Store.SetFaults(standin.Faults{
			Down:          s.random.IntN(2) == 0,
			LoseResponses: s.random.IntN(2) == 0,
			Delay:         time.Duration(s.random.IntN(300)) * time.Millisecond,
		})
	case 7:
		s.Store.SetFaults(standin.Faults{})
	}
}

func (s *faultSession) restartDead() {
	for _, id := range allHosts {
		if s.dead[id] {
			delete(s.dead, id)
			s.Start(id)
		}
	}
}

// endFaults ends all faults.
func (s *faultSession) endFaults() {
	s.PartitionZones()
	s.Store.SetFaults(standin.Faults{})
	s.restartDead()
}

// attemptRelease proposes a change to the version in force at a random node,
// approves or vetoes it, and releases it. It stops when the node has no status or
// refuses the proposal, and ignores later refusals.
func (s *faultSession) attemptRelease() {
	at := allHosts[s.random.IntN(len(allHosts))]
	status, ok := s.Status(at)
	if !ok {
		return
	}
	s.number++
	id := fmt.Sprintf("session-%d", s.number)
	request := operator.ProposeRequest{
		ID: id, Base: status.Version, Config: s.Config(ruleDeadline + time.Duration(s.number)*time.Millisecond),
	}
	var submitted operator.SubmitResponse
	if s.CallOperatorAPI(at, bubble.OperatorToken, "POST", "/v1/proposals", request, &submitted) != http.StatusOK {
		return
	}
	kind := change.Approve
	if s.random.IntN(4) == 0 {
		kind = change.Veto
	}
	s.SubmitDecision(at, kind, id, submitted.Digest)
	s.SubmitDecision(at, change.Release, id, submitted.Digest)
}

// TestRandomFaults injects seeded sequences of host deaths, restarts, partitions,
// platform outages, delays and lost responses under bookings and configuration
// changes. No host may go back to an older version, no booking may run twice, and
// none with the verdict not-run may have run. Once all faults have ended, the
// fleet must recover by itself.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaultSession(t, seed) })
		})
	}
}

func runFaultSession(t *testing.T, seed uint64) {
	f, _ := newServingFleet(t)
	defer f.Close()
	s := &faultSession{Fleet: f, t: t, random: rand.New(rand.NewPCG(seed, 1)), dead: make(map[mesh.HostID]bool)}
	for _, h := range f.Hosts {
		h.Backend.SetDelay(50 * time.Millisecond) // bookings are running when hosts die
	}
	versions := f.MonitorVersions(allHosts...)
	load := f.StartLoad("desk", mesh.Booking, 200*time.Millisecond, allHosts...)
	for range 30 {
		s.injectFault()
		time.Sleep(time.Duration(s.random.IntN(3000)) * time.Millisecond)
		s.attemptRelease()
	}
	s.endFaults()
	faultsEnded := time.Now()
	f.Eventually("a released change in force at all hosts", func() bool {
		status, ok := f.Status("fes-1")
		if !ok || status.Version == 0 {
			return false
		}
		s.number++
		id := fmt.Sprintf("healed-%d", s.number)
		request := operator.ProposeRequest{ID: id, Base: status.Version, Config: s.Config(2 * ruleDeadline)}
		var submitted operator.SubmitResponse
		if f.CallOperatorAPI("fes-1", bubble.OperatorToken, "POST", "/v1/proposals", request, &submitted) != http.StatusOK {
			return false
		}
		f.SubmitDecision("fes-1", change.Approve, id, submitted.Digest)
		releaseStatus, released := f.SubmitDecision("fes-1", change.Release, id, submitted.Digest)
		if releaseStatus != http.StatusOK {
			return false
		}
		f.AwaitVersion(released.Outcome.Version, allHosts...)
		return true
	})
	took := time.Since(faultsEnded)
	time.Sleep(2 * maxFailoverTime)
	recovered := time.Now()
	time.Sleep(2 * time.Second)
	answered, sent := load.CountAnsweredSince(recovered)
	outcome := load.StopAndCheck(mesh.Booking)
	versions.StopAndCheck()
	t.Logf("change in force at all hosts %v after the last fault; %+v", took, outcome)
	must.Eq(t, sent, answered, must.Sprint("bookings sent after the recovery that were answered"))
	must.Less(t, 5*maxDistributionTime, took)
}
