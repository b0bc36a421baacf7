// Package choose picks the backend server for one attempt of a request.
package choose

import (
	"math/rand/v2"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Candidate is a backend server that could take the request, and what is known
// of its load.
type Candidate struct {
	Host    mesh.HostID
	Zone    mesh.Zone
	Address string
	Load    mesh.Load
	// InFlight is the number of requests that this node has under way there.
	InFlight int
}

// Query is one choice to make.
type Query struct {
	// Zone is the zone of the node that chooses.
	Zone mesh.Zone
	// Tried has the hosts that earlier attempts went to.
	Tried []mesh.HostID
	// Random is the source of the draw.
	Random *rand.Rand
}

// Pick returns the candidate to send to, and false when there is none. Hosts
// not tried yet come before hosts of the own zone, and those before the rest;
// among equals it is the less loaded of two drawn at random.
func Pick(q Query, candidates []Candidate) (Candidate, bool) {
	pool := prefer(candidates, func(c Candidate) bool { return !slices.Contains(q.Tried, c.Host) })
	pool = prefer(pool, func(c Candidate) bool { return c.Zone == q.Zone })
	if len(pool) == 0 {
		return Candidate{}, false
	}
	first := pool[q.Random.IntN(len(pool))]
	second := pool[q.Random.IntN(len(pool))]
	if pressure(second) < pressure(first) {
		return second, true
	}
	return first, true
}

// prefer returns the candidates that fit, or all of them when none does.
func prefer(candidates []Candidate, fits func(Candidate) bool) []Candidate {
	var chosen []Candidate
	for _, c := range candidates {
		if fits(c) {
			chosen = append(chosen, c)
		}
	}
	if len(chosen) == 0 {
		return candidates
	}
	return chosen
}

// pressure is the work in the candidate's way for each of its slots.
func pressure(c Candidate) float64 {
	work := c.Load.Busy + c.Load.Queued + c.InFlight
	return float64(work) / float64(max(c.Load.Slots, 1))
}
