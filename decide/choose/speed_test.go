package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// bySpeed returns candidates of one zone at the same utilisation. Host i has the
// i-th speed, or reports none if reported is false.
func bySpeed(reported bool, speeds ...float64) []choose.Candidate {
	candidates := hosts(len(speeds), func(bool) int { return 6 })
	for i, speed := range speeds {
		load := mesh.Load{Slots: 12, Busy: 6}
		if reported {
			load.Speeds[mesh.Lookup.Index()] = int(12_000 * speed / 0.14)
		}
		candidates[i].Zone = "near"
		candidates[i].Stats = choose.HostStats{}.ObserveResponse(start, mesh.Lookup, time.Duration(140e6/speed), load)
	}
	return candidates
}

// The backend servers of the storefront of deployment A, about which the node has
// reports but no latency of its own for the class. Guards against a choice
// that gives a slow server as much as a fast one, and one that gives nearly
// everything to the fastest.
func TestFasterServersGetMoreAtEqualUtilisation(t *testing.T) {
	candidates := bySpeed(true, 0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5)
	for i, c := range candidates {
		candidates[i].Stats = choose.HostStats{}.ObserveResponse(start, mesh.Booking, 140*time.Millisecond, c.Stats.Load)
	}
	slow := share(candidates, func(c choose.Candidate) bool { return c.Host == "0" || c.Host == "4" })
	fastest := share(candidates, func(c choose.Candidate) bool { return c.Host == "3" || c.Host == "7" })
	t.Logf("shares: %.2f of the slow servers, %.2f of the fastest", slow, fastest)
	must.Less(t, 0.125, slow)
	must.Between(t, 0.375, fastest, 0.7)
}

// The others are busy by different amounts and report it. Guards against a slow
// report of one moment that keeps a server from being tried again.
func TestSlowServerIsTriedAgain(t *testing.T) {
	now := start.Add(10 * time.Second)
	candidates := bySpeed(true, 1, 1, 1, 0.01)
	for i, busy := range []int{3, 8, 9} {
		load := candidates[i].Stats.Load
		load.Busy = busy
		candidates[i].Stats = candidates[i].Stats.ObserveResponse(now, mesh.Lookup, 140*time.Millisecond, load)
	}
	q := choose.Query{Now: now, Class: mesh.Lookup, Zone: "near", Random: rand.New(rand.NewPCG(1, 2))}
	picked := 0
	for range 2000 {
		if c, _ := choose.Pick(q, candidates); c.Host == "3" {
			picked++
		}
	}
	must.Greater(t, 300, picked)
}

// Guards against a changed choice, or changed draws, where no speeds are reported.
func TestChoiceWithoutSpeedsUsesTheSameDraws(t *testing.T) {
	// Speeds of another class are no speeds.
	with, without := bySpeed(false, 0.5, 1, 1, 1.5), bySpeed(false, 0.5, 1, 1, 1.5)
	for i := range with {
		with[i].Stats.Load.Speeds[mesh.Booking.Index()] = 1000 * (i + 1)
	}
	first := choose.Query{Now: start, Class: mesh.Lookup, Zone: "near", Random: rand.New(rand.NewPCG(1, 2))}
	second := first
	second.Random = rand.New(rand.NewPCG(1, 2))
	for range 500 {
		a, _ := choose.Pick(first, with)
		b, _ := choose.Pick(second, without)
		must.Eq(t, a.Host, b.Host)
	}
	must.Eq(t, first.Random.Uint64(), second.Random.Uint64())
}
