// Package choose picks the backend server for one attempt of a request: the
// best of a few drawn at random, by what the latest answers told of their load
// and latency. The own zone comes first, and others as its load rises.
package choose

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// zoneFactor is how many times the cost in the own zone another zone of
	// the region counts, and regionFactor another region.
	zoneFactor   = 1.5
	regionFactor = 4
	// largeZoneFactor is the same as zoneFactor for requests with a large body:
	// bytes between zones are paid for, and small requests have few.
	largeZoneFactor = 4
	// silence is how many times the expected latency a host may be silent
	// with requests under way before that counts as its latency.
	silence = 2
	// failureFactor is how many times its cost a host counts more that fails
	// every request: one that fails a tenth is left for another that is a half
	// busier.
	failureFactor = 5
	// maxOut is the part of the hosts that may be left out for failures:
	// one in maxOut. Past that, failures say more of this node's network.
	maxOut = 3
)

// Candidate is a backend server that could take the request, and what is known
// of it.
type Candidate struct {
	Host    mesh.HostID
	Zone    mesh.Zone
	Region  mesh.Region
	Address string
	// Incarnation is the life of its node.
	Incarnation mesh.Incarnation
	Report      Report
	// InFlight is what this node has under way there.
	InFlight InFlight
}

// InFlight is what this node has under way at one host.
type InFlight struct {
	// Count is the number of requests.
	Count int
	// Since is when the last answer came, or the first of them was sent.
	Since time.Time
}

// Joined returns the count with one request more.
func (f InFlight) Joined(now time.Time) InFlight {
	if f.Count == 0 {
		f.Since = now
	}
	f.Count++
	return f
}

// Left returns the count with one request less, after word from the host.
func (f InFlight) Left(now time.Time) InFlight {
	return InFlight{Count: max(f.Count-1, 0), Since: now}
}

// Query is one choice to make.
type Query struct {
	Now   time.Time
	Class mesh.Class
	// Zone and Region are those of the node that chooses.
	Zone   mesh.Zone
	Region mesh.Region
	// Tried has the hosts that earlier attempts went to.
	Tried []mesh.HostID
	// Large is true for a request with a large body.
	Large bool
	// Random is the source of the draw.
	Random *rand.Rand
}

// Policy picks a candidate; false when there is none.
type Policy func(Query, []Candidate) (Candidate, bool)

// Pick is the policy in use. Hosts that were tried, that drain, or that were
// ejected come last; a few are drawn from the rest, near ones first, and the
// cheapest of them is taken.
func Pick(q Query, candidates []Candidate) (Candidate, bool) {
	pool := usable(q, candidates)
	if len(pool) == 0 {
		return Candidate{}, false
	}
	usual := typical{latency: typicalLatency(q.Class, pool), load: typicalLoad(q.Now, pool)}
	var best Candidate
	lowest := -1.0
	for _, c := range draw(q, pool) {
		if price := cost(q, c, usual); lowest < 0 || price < lowest {
			best, lowest = c, price
		}
	}
	return best, true
}

// usable leaves out the hosts that were tried, then those that drain or were
// ejected; each rule is passed over where nothing would be left.
func usable(q Query, candidates []Candidate) []Candidate {
	pool := prefer(candidates, func(c Candidate) bool { return !slices.Contains(q.Tried, c.Host) })
	pool = prefer(pool, func(c Candidate) bool { return !q.Now.Before(c.Report.DrainingUntil) })
	out := 0
	return prefer(pool, func(c Candidate) bool {
		if c.Report.out(q.Now) && out < len(pool)/maxOut+1 && len(pool) > 1 {
			out++
			return false
		}
		return true
	})
}

// prefer returns the candidates that fit, or all of them when none does.
func prefer(candidates []Candidate, fits func(Candidate) bool) []Candidate {
	chosen := make([]Candidate, 0, len(candidates))
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

// draw returns two candidates of the own zone, and two of the others.
func draw(q Query, pool []Candidate) []Candidate {
	drawn := make([]Candidate, 0, 4)
	near := make([]Candidate, 0, len(pool))
	far := make([]Candidate, 0, len(pool))
	for _, c := range pool {
		if c.Zone == q.Zone {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	drawn = drawTwo(q.Random, near, drawn)
	return drawTwo(q.Random, far, drawn)
}

// drawTwo adds two different candidates, or the only one.
func drawTwo(random *rand.Rand, from, to []Candidate) []Candidate {
	if len(from) < 2 {
		return append(to, from...)
	}
	first := random.IntN(len(from))
	second := random.IntN(len(from) - 1)
	if second >= first {
		second++
	}
	return append(to, from[first], from[second])
}

// typical is what is expected of a host that nothing recent is known of.
type typical struct {
	latency float64 // nanoseconds
	load    float64 // work for each slot
}

// cost is the time that a request can be expected to take at the candidate,
// in nanoseconds: its latency, times how far its slots are taken.
func cost(q Query, c Candidate, usual typical) float64 {
	latency := c.Report.expected(q.Now, q.Class, usual.latency)
	if quiet := float64(q.Now.Sub(c.InFlight.Since)); c.InFlight.Count > 0 && quiet > silence*latency {
		latency = quiet
	}
	price := latency * (1 + pressure(q.Now, c, usual.load)) * (1 + failureFactor*c.Report.failing(q.Now))
	switch {
	case c.Zone == q.Zone:
		return price
	case c.Region == q.Region && q.Large:
		return price * largeZoneFactor
	case c.Region == q.Region:
		return price * zoneFactor
	}
	return price * regionFactor
}

// pressure is the work in the way for each slot. A host that has reported
// nothing yet counts as one slot of its own requests, so that it is tried gently.
func pressure(now time.Time, c Candidate, usual float64) float64 {
	own := float64(c.InFlight.Count) / float64(max(c.Report.Load.Slots, 1))
	full := max(c.Report.load(now, usual), own)
	return full + full*full
}

// typicalLoad is the mean of the candidates' loads, the newer the reports the
// more they count; zero when none reported.
func typicalLoad(now time.Time, pool []Candidate) float64 {
	total, weights := 0.0, 0.0
	for _, c := range pool {
		if c.Report.Load.Slots > 0 {
			weight := fade(now.Sub(c.Report.At), loadAging)
			total += weight * c.Report.reported()
			weights += weight
		}
	}
	if weights == 0 {
		return 0
	}
	return total / weights
}

// typicalLatency is the median of the candidates' latencies, in nanoseconds.
func typicalLatency(class mesh.Class, pool []Candidate) float64 {
	known := make([]time.Duration, 0, len(pool))
	for _, c := range pool {
		if latency := c.Report.latency[class.Index()]; latency > 0 {
			known = append(known, latency)
		}
	}
	if len(known) == 0 {
		return float64(time.Millisecond)
	}
	slices.Sort(known)
	return float64(known[(len(known)-1)/2])
}
