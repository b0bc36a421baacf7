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

// session is a fleet under faults that a seed draws.
type session struct {
	*bubble.Fleet
	t      *testing.T
	random *rand.Rand
	dead   map[mesh.HostID]bool
	number int
}

// fault brings about one fault, or ends one.
func (s *session) fault() {
	id := everyone[s.random.IntN(len(everyone))]
	switch s.random.IntN(8) {
	case 0, 1:
		if !s.dead[id] {
			s.Kill(id)
			s.dead[id] = true
		}
	case 2, 3:
		s.revive()
	case 4:
		s.CutZones([]mesh.Zone{"fes", "meknes"}[s.random.IntN(2)])
	case 5:
		s.CutZones()
	case 6:
		s.Store.SetFaults(standin.Faults{
			Down:        s.random.IntN(2) == 0,
			LoseAnswers: s.random.IntN(2) == 0,
			Delay:       time.Duration(s.random.IntN(300)) * time.Millisecond,
		})
	case 7:
		s.Store.SetFaults(standin.Faults{})
	}
}

func (s *session) revive() {
	for _, id := range everyone {
		if s.dead[id] {
			delete(s.dead, id)
			s.Start(id)
		}
	}
}

// heal ends every fault.
func (s *session) heal() {
	s.CutZones()
	s.Store.SetFaults(standin.Faults{})
	s.revive()
}

// change tries a change at a node drawn at random, in the way of an operator
// who gives up at the first refusal. It proposes from the version in force.
func (s *session) change() {
	at := everyone[s.random.IntN(len(everyone))]
	status, ok := s.Status(at)
	if !ok {
		return
	}
	s.number++
	id := fmt.Sprintf("session-%d", s.number)
	request := operator.ProposeRequest{
		ID: id, Base: status.Version, Config: s.Config(deadline + time.Duration(s.number)*time.Millisecond),
	}
	var done operator.Submitted
	if s.Operate(at, bubble.OperatorToken, "POST", "/v1/proposals", request, &done) != http.StatusOK {
		return
	}
	verb := change.Approve
	if s.random.IntN(4) == 0 {
		verb = change.Veto
	}
	s.Answer(at, verb, id, done.Digest)
	s.Answer(at, change.Release, id, done.Digest)
}

// TestSessionsOfFaults runs seeded sessions of deaths, returns, cuts, outages,
// slowness and lost answers under bookings and changes. Whatever comes, no
// host goes back to an older version, no booking runs twice, what was told not
// to have run did not; and once all is healed, the fleet comes back by itself.
func TestSessionsOfFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSession(t, seed) })
		})
	}
}

func runSession(t *testing.T, seed uint64) {
	f, _ := started(t)
	defer f.Close()
	s := &session{Fleet: f, t: t, random: rand.New(rand.NewPCG(seed, 1)), dead: make(map[mesh.HostID]bool)}
	for _, h := range f.Hosts {
		h.Backend.SetDelay(50 * time.Millisecond) // so that deaths meet runs under way
	}
	versions := f.WatchVersions(everyone...)
	load := f.StartLoad("desk", mesh.Booking, 200*time.Millisecond, everyone...)
	for range 30 {
		s.fault()
		time.Sleep(time.Duration(s.random.IntN(3000)) * time.Millisecond)
		s.change()
	}
	s.heal()
	healed := time.Now()
	f.Eventually("a change goes through and is in force everywhere", func() bool {
		status, ok := f.Status("fes-1")
		if !ok || status.Version == 0 {
			return false
		}
		s.number++
		id := fmt.Sprintf("healed-%d", s.number)
		request := operator.ProposeRequest{ID: id, Base: status.Version, Config: s.Config(2 * deadline)}
		var done operator.Submitted
		if f.Operate("fes-1", bubble.OperatorToken, "POST", "/v1/proposals", request, &done) != http.StatusOK {
			return false
		}
		f.Answer("fes-1", change.Approve, id, done.Digest)
		released, answer := f.Answer("fes-1", change.Release, id, done.Digest)
		if released != http.StatusOK {
			return false
		}
		f.AwaitVersion(answer.Outcome.Version, everyone...)
		return true
	})
	took := time.Since(healed)
	time.Sleep(2 * deadWithin)
	back := time.Now()
	time.Sleep(2 * time.Second)
	answered, sent := load.AnsweredSince(back)
	o := load.Check(mesh.Booking)
	versions.Check()
	t.Logf("a change in force everywhere %v after healing; %+v", took, o)
	must.Eq(t, sent, answered, must.Sprint("every booking is answered after healing"))
	must.Less(t, 5*inForceWithin, took)
}
