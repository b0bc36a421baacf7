// Package choose implements load balancing: it picks the backend server for one
// attempt of a request. The policy draws a few candidates at random and takes
// the one with the lowest cost, computed from the latency and load of the
// latest responses and from the zone. Other zones cost more, so they get
// requests only as the load of the node's own zone rises.
package choose

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// otherZoneCostFactor multiplies the cost of candidates in another zone of
	// the same region, otherRegionCostFactor that of candidates in another
	// region.
	otherZoneCostFactor   = 1.5
	otherRegionCostFactor = 4
	// largeBodyZoneCostFactor replaces otherZoneCostFactor for requests with a
	// large body, because traffic between zones is billed by the byte.
	largeBodyZoneCostFactor = 4
	// silenceFactor is the multiple of the expected latency after which the
	// time without a response, with requests in flight, counts as the host's
	// latency.
	silenceFactor = 2
	// failureCostFactor raises the cost by the failure ratio: a host that fails
	// every request costs six times as much, one that fails a tenth of them one
	// and a half times as much.
	failureCostFactor = 5
	// maxEjectedDivisor limits the ejected hosts to about a third. When more
	// hosts fail, this node's own network is the likelier cause.
	maxEjectedDivisor = 3
)

// Candidate is a backend server that a request can be sent to, with the
// statistics that this node has about it.
type Candidate struct {
	Host    mesh.HostID
	Zone    mesh.Zone
	Region  mesh.Region
	Address string
	// Incarnation is the incarnation of the host's node.
	Incarnation mesh.Incarnation
	Stats       HostStats
	// InFlight holds the requests that this node has in flight at the host.
	InFlight InFlight
}

// InFlight counts the requests that this node has in flight at one host.
type InFlight struct {
	// Count is the number of requests.
	Count int
	// LastEndedAt is when the last attempt there ended, or when the first of
	// the requests was sent.
	LastEndedAt time.Time
}

// Incremented returns the count after one more request was sent.
func (f InFlight) Incremented(now time.Time) InFlight {
	if f.Count == 0 {
		f.LastEndedAt = now
	}
	f.Count++
	return f
}

// Decremented returns the count after one request ended.
func (f InFlight) Decremented(now time.Time) InFlight {
	return InFlight{Count: max(f.Count-1, 0), LastEndedAt: now}
}

// Query holds the inputs of one pick.
type Query struct {
	Now   time.Time
	Class mesh.Class
	// Zone and Region are those of the node that picks.
	Zone   mesh.Zone
	Region mesh.Region
	// Tried lists the hosts of earlier attempts.
	Tried []mesh.HostID
	// LargeBody is true for a request with a large body.
	LargeBody bool
	// Random is the source of the draws.
	Random *rand.Rand
}

// Policy picks a candidate. It returns false when there is none.
type Policy func(Query, []Candidate) (Candidate, bool)

// Pick is the load balancing policy of the node. It prefers hosts that were not
// tried, are not draining and are not ejected, draws up to two of them from the
// node's own zone and two from the other zones, and returns the one with the
// lowest cost.
func Pick(q Query, candidates []Candidate) (Candidate, bool) {
	pool := eligible(q, candidates)
	if len(pool) == 0 {
		return Candidate{}, false
	}
	typical := baseline{latency: medianLatency(q.Class, pool), load: meanLoad(q.Now, pool), speed: meanSpeed(q.Now, q.Class, pool)}
	var best Candidate
	lowest := -1.0
	for _, c := range draw(q, pool, typical.speed) {
		if price := cost(q, c, typical); lowest < 0 || price < lowest {
			best, lowest = c, price
		}
	}
	return best, true
}

// eligible leaves out the hosts that were tried, then those that drain, then
// those that are ejected. A rule that would leave no candidate is skipped.
func eligible(q Query, candidates []Candidate) []Candidate {
	pool := Prefer(candidates, func(c *Candidate) bool { return !slices.Contains(q.Tried, c.Host) })
	pool = Prefer(pool, func(c *Candidate) bool { return !q.Now.Before(c.Stats.DrainingUntil) })
	ejected := 0
	return Prefer(pool, func(c *Candidate) bool {
		if c.Stats.isUnavailable(q.Now) && ejected < len(pool)/maxEjectedDivisor+1 && len(pool) > 1 {
			ejected++
			return false
		}
		return true
	})
}

// Prefer returns the candidates that accept allows, or all of them when it allows
// none. It copies nothing if accept allows all, as it does for most requests: the
// candidates of one pick are several kilobytes.
func Prefer(candidates []Candidate, accept func(*Candidate) bool) []Candidate {
	if accepted := Filter(candidates, accept); len(accepted) > 0 {
		return accepted
	}
	return candidates
}

// Filter returns the candidates that accept allows. It copies nothing if accept
// allows all.
func Filter(candidates []Candidate, accept func(*Candidate) bool) []Candidate {
	var accepted []Candidate
	left := false
	for i := range candidates {
		switch ok := accept(&candidates[i]); {
		case !ok && !left:
			left = true
			accepted = append(make([]Candidate, 0, len(candidates)-1), candidates[:i]...)
		case ok && left:
			accepted = append(accepted, candidates[i])
		}
	}
	if !left {
		return candidates
	}
	return accepted
}

// draw returns up to two candidates of the node's own zone and up to two of the
// other zones. If speeds are reported, faster candidates are drawn more often.
func draw(q Query, pool []Candidate, meanSpeed float64) []Candidate {
	drawn := make([]Candidate, 0, 4)
	ownZone := make([]*Candidate, 0, len(pool))
	otherZones := make([]*Candidate, 0, len(pool))
	for i := range pool {
		if pool[i].Zone == q.Zone {
			ownZone = append(ownZone, &pool[i])
		} else {
			otherZones = append(otherZones, &pool[i])
		}
	}
	if meanSpeed > 0 {
		drawn = drawTwoBySpeed(q, ownZone, drawn, meanSpeed)
		return drawTwoBySpeed(q, otherZones, drawn, meanSpeed)
	}
	drawn = drawTwo(q.Random, ownZone, drawn)
	return drawTwo(q.Random, otherZones, drawn)
}

// drawTwo appends two different candidates, or all where there are fewer.
func drawTwo(random *rand.Rand, from []*Candidate, to []Candidate) []Candidate {
	if len(from) < 2 {
		return appendAll(to, from)
	}
	first := random.IntN(len(from))
	second := random.IntN(len(from) - 1)
	if second >= first {
		second++
	}
	return append(to, *from[first], *from[second])
}

func appendAll(to []Candidate, from []*Candidate) []Candidate {
	for _, c := range from {
		to = append(to, *c)
	}
	return to
}

// baseline holds the values assumed for a host without recent observations.
type baseline struct {
	latency float64 // nanoseconds
	load    float64 // requests for each slot
	speed   float64 // reported speed; zero when no candidate reported one
}

// cost estimates the time that a request takes at the candidate, in
// nanoseconds: its latency, raised by its load, its failures and the distance
// of its zone.
func cost(q Query, c Candidate, typical baseline) float64 {
	latency := c.Stats.expectedLatency(q.Now, q.Class, typical.latency)
	if learned := c.Stats.speedLatency(q.Now, q.Class, typical.speed); learned > 0 {
		latency = learned
	}
	if silence := float64(q.Now.Sub(c.InFlight.LastEndedAt)); c.InFlight.Count > 0 && silence > silenceFactor*latency {
		latency = silence
	}
	price := latency * (1 + loadPenalty(q.Now, c, typical.load)) * (1 + failureCostFactor*c.Stats.failureRatio(q.Now))
	switch {
	case c.Zone == q.Zone:
		return price
	case c.Region == q.Region && q.LargeBody:
		return price * largeBodyZoneCostFactor
	case c.Region == q.Region:
		return price * otherZoneCostFactor
	}
	return price * otherRegionCostFactor
}

// loadPenalty returns the load for each slot plus its square, so that the cost
// rises steeply as a host fills. The load is the larger of the reported one and
// this node's own requests in flight. A host that has reported no load counts
// as having one slot, so that it gets few requests at first.
func loadPenalty(now time.Time, c Candidate, typical float64) float64 {
	own := float64(c.InFlight.Count) / float64(max(c.Stats.Load.Slots, 1))
	load := max(c.Stats.expectedLoad(now, typical), own)
	return load + load*load
}

// meanLoad returns the mean load for each slot of the candidates, with newer
// reports weighted more; zero when none reported a load.
func meanLoad(now time.Time, pool []Candidate) float64 {
	total, weights := 0.0, 0.0
	for i := range pool {
		c := &pool[i]
		if c.Stats.Load.Slots > 0 {
			weight := decay(now.Sub(c.Stats.LoadAt), loadDecayTime)
			total += weight * c.Stats.reportedLoad()
			weights += weight
		}
	}
	if weights == 0 {
		return 0
	}
	return total / weights
}

// medianLatency returns the median of the candidates' latencies for the class,
// in nanoseconds; one millisecond when no candidate has a latency.
func medianLatency(class mesh.Class, pool []Candidate) float64 {
	known := make([]time.Duration, 0, len(pool))
	for i := range pool {
		if latency := pool[i].Stats.latency[class.Index()]; latency > 0 {
			known = append(known, latency)
		}
	}
	if len(known) == 0 {
		return float64(time.Millisecond)
	}
	slices.Sort(known)
	return float64(known[(len(known)-1)/2])
}
