package choose_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

var start = time.Unix(1_700_000_000, 0)

// hosts returns n candidates, alternately in the picking node's zone ("near")
// and in another one ("far"), with the busy slots that busy returns.
func hosts(n int, busy func(near bool) int) []choose.Candidate {
	candidates := make([]choose.Candidate, n)
	for i := range candidates {
		c := choose.Candidate{Host: mesh.HostID(strconv.Itoa(i)), Zone: "near"}
		if i%2 == 1 {
			c.Zone = "far"
		}
		load := mesh.Load{Slots: 12, Busy: busy(c.Zone == "near")}
		c.Stats = c.Stats.ObserveResponse(start, mesh.Lookup, 20*time.Millisecond, load)
		candidates[i] = c
	}
	return candidates
}

// share returns the fraction of picks that match.
func share(candidates []choose.Candidate, match func(choose.Candidate) bool) float64 {
	const picks = 2000
	q := choose.Query{Now: start, Class: mesh.Lookup, Zone: "near", Random: rand.New(rand.NewPCG(1, 2))}
	count := 0
	for range picks {
		if c, found := choose.Pick(q, candidates); found && match(c) {
			count++
		}
	}
	return float64(count) / picks
}

func isFar(c choose.Candidate) bool { return c.Zone == "far" }

func TestOtherZonesGetMoreAsTheOwnZoneFills(t *testing.T) {
	last := -1.0
	for _, busy := range []int{0, 4, 8, 12} {
		candidates := hosts(8, func(near bool) int {
			if near {
				return busy
			}
			return 4
		})
		far := share(candidates, isFar)
		must.GreaterEq(t, last, far)
		last = far
	}
	must.Zero(t, share(hosts(8, func(bool) int { return 6 }), isFar))
	must.Greater(t, 0.9, last)
}

// Guards against ejecting most hosts of a service when nearly all of them fail,
// which points to the picking node's own network.
func TestEjectionLeavesMostOfAService(t *testing.T) {
	candidates := hosts(9, func(bool) int { return 0 })
	for i := range candidates[1:] {
		for range 3 {
			candidates[i].Stats = candidates[i].Stats.ObserveFailure(start)
		}
	}
	seen := map[mesh.HostID]bool{}
	share(candidates, func(c choose.Candidate) bool {
		seen[c.Host] = true
		return true
	})
	must.GreaterEq(t, 3, len(seen)) // the hosts of the near zone that are not ejected
	// A single failing host gets no requests until its ejection ends.
	candidates = hosts(9, func(bool) int { return 0 })
	for range 3 {
		candidates[0].Stats = candidates[0].Stats.ObserveFailure(start)
	}
	isFirst := func(c choose.Candidate) bool { return c.Host == "0" }
	must.Zero(t, share(candidates, isFirst))
	must.True(t, start.Add(time.Second).After(candidates[0].Stats.EjectedUntil))
}

func TestSlowHostIsAvoided(t *testing.T) {
	candidates := hosts(8, func(bool) int { return 3 })
	candidates[0].Stats = candidates[0].Stats.ObserveResponse(start, mesh.Lookup, 200*time.Millisecond, mesh.Load{Slots: 12, Busy: 3})
	isFirst := func(c choose.Candidate) bool { return c.Host == "0" }
	must.Zero(t, share(candidates, isFirst))
	// The time without a response counts as latency while a request is in
	// flight.
	candidates = hosts(8, func(bool) int { return 3 })
	candidates[0].InFlight = choose.InFlight{Count: 1, LastEndedAt: start.Add(-200 * time.Millisecond)}
	must.Zero(t, share(candidates, isFirst))
}

// In a large fleet a node gets a load report from each host only once in a
// second or more. Guards against taking the hosts of an overloaded service for
// idle because their reports are old: the far hosts would then get requests
// that the near ones have capacity for.
func TestFullHostWithAnOldReportIsNotTakenForIdle(t *testing.T) {
	candidates := hosts(8, func(bool) int { return 11 })
	for i, c := range candidates {
		if isFar(c) {
			candidates[i].Stats.LoadAt = start.Add(-3 * time.Second)
		}
	}
	must.Zero(t, share(candidates, isFar))
}
