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

// hosts returns candidates of which every second one is in the own zone.
func hosts(n int, busy func(near bool) int) []choose.Candidate {
	list := make([]choose.Candidate, n)
	for i := range list {
		c := choose.Candidate{Host: mesh.HostID(strconv.Itoa(i)), Zone: "near"}
		if i%2 == 1 {
			c.Zone = "far"
		}
		load := mesh.Load{Slots: 12, Busy: busy(c.Zone == "near")}
		c.Report = c.Report.Answered(start, mesh.Lookup, 20*time.Millisecond, load)
		list[i] = c
	}
	return list
}

// share is the part of the picks that fit.
func share(list []choose.Candidate, fits func(choose.Candidate) bool) float64 {
	const draws = 2000
	q := choose.Query{Now: start, Class: mesh.Lookup, Zone: "near", Random: rand.New(rand.NewPCG(1, 2))}
	count := 0
	for range draws {
		if c, found := choose.Pick(q, list); found && fits(c) {
			count++
		}
	}
	return float64(count) / draws
}

func isFar(c choose.Candidate) bool { return c.Zone == "far" }

func TestOtherZonesGetMoreAsTheOwnOneFills(t *testing.T) {
	last := -1.0
	for _, busy := range []int{0, 4, 8, 12} {
		list := hosts(8, func(near bool) int {
			if near {
				return busy
			}
			return 4
		})
		far := share(list, isFar)
		must.GreaterEq(t, last, far)
		last = far
	}
	must.Zero(t, share(hosts(8, func(bool) int { return 6 }), isFar))
	must.Greater(t, 0.9, last)
}

func TestEjectionLeavesMostOfAService(t *testing.T) {
	list := hosts(9, func(bool) int { return 0 })
	for i := range list[1:] {
		for range 3 {
			list[i].Report = list[i].Report.Failed(start)
		}
	}
	seen := map[mesh.HostID]bool{}
	share(list, func(c choose.Candidate) bool {
		seen[c.Host] = true
		return true
	})
	must.GreaterEq(t, 3, len(seen)) // all of the own zone that is left
	// One that fails alone gets nothing, and is tried again later.
	list = hosts(9, func(bool) int { return 0 })
	for range 3 {
		list[0].Report = list[0].Report.Failed(start)
	}
	first := func(c choose.Candidate) bool { return c.Host == "0" }
	must.Zero(t, share(list, first))
	must.True(t, start.Add(time.Second).After(list[0].Report.EjectedUntil))
}

func TestStragglerIsLeftOutAndTriedAgain(t *testing.T) {
	list := hosts(8, func(bool) int { return 3 })
	list[0].Report = list[0].Report.Answered(start, mesh.Lookup, 200*time.Millisecond, mesh.Load{Slots: 12, Busy: 3})
	first := func(c choose.Candidate) bool { return c.Host == "0" }
	must.Zero(t, share(list, first))
	// Silence with a request under way counts before the answer is there.
	list = hosts(8, func(bool) int { return 3 })
	list[0].InFlight = choose.InFlight{Count: 1, Since: start.Add(-200 * time.Millisecond)}
	must.Zero(t, share(list, first))
}

// Pattern: a service that is full, in a fleet so large that each node hears of
// a host once in a second or more. What was last heard of the far hosts is old;
// taken for idle they would get what the near ones have room for.
func TestFullHostHeardOfLongAgoIsNotTakenForIdle(t *testing.T) {
	list := hosts(8, func(bool) int { return 11 })
	for i, c := range list {
		if isFar(c) {
			list[i].Report.At = start.Add(-3 * time.Second)
		}
	}
	must.Zero(t, share(list, isFar))
}
