package choose

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// speedDecayTime is the time constant with which a reported speed decays
	// towards the mean of the candidates, so that a host that was slow for a
	// moment is drawn often enough to report that it is fast again.
	speedDecayTime = 2 * time.Second
	// minSpeedRatio is the lowest speed, relative to the mean, with which a host
	// is drawn: it goes on to report its speed.
	minSpeedRatio = 0.1
)

// meanSpeed returns the mean of the speeds for the class that the candidates
// reported, with newer reports weighted more; zero when none reported one.
func meanSpeed(now time.Time, class mesh.Class, pool []Candidate) float64 {
	total, weights := 0.0, 0.0
	for i := range pool {
		if speed := pool[i].Stats.Load.Speeds[class.Index()]; speed > 0 {
			// Reports that are all old still have a mean.
			weight := decay(now.Sub(pool[i].Stats.LoadAt), speedDecayTime) + 1e-6
			total += weight * float64(speed)
			weights += weight
		}
	}
	if weights == 0 {
		return 0
	}
	return total / weights
}

// expectedSpeed returns the speed for the class, which decays from the reported
// one to the typical one.
func (r HostStats) expectedSpeed(now time.Time, c mesh.Class, typical float64) float64 {
	speed := float64(r.Load.Speeds[c.Index()])
	if speed == 0 {
		return typical
	}
	return max(typical+(speed-typical)*decay(now.Sub(r.LoadAt), speedDecayTime), minSpeedRatio*typical)
}

// drawTwoBySpeed appends two different candidates, or all where there are fewer,
// each drawn in proportion to its speed. At equal utilisation faster hosts then
// get proportionally more, and no host is the choice of every node.
func drawTwoBySpeed(q Query, from []*Candidate, to []Candidate, typical float64) []Candidate {
	if len(from) <= 2 {
		return appendAll(to, from)
	}
	total := 0.0
	for i := range from {
		total += from[i].Stats.expectedSpeed(q.Now, q.Class, typical)
	}
	first := drawBySpeed(q, from, -1, total, typical)
	total -= from[first].Stats.expectedSpeed(q.Now, q.Class, typical)
	second := drawBySpeed(q, from, first, total, typical)
	return append(to, *from[first], *from[second])
}

// drawBySpeed returns the index of a candidate other than except, drawn in
// proportion to its speed; total is the sum of the speeds.
func drawBySpeed(q Query, from []*Candidate, except int, total, typical float64) (drawn int) {
	rest := q.Random.Float64() * total
	for i := range from {
		if i == except {
			continue
		}
		drawn = i
		if rest -= from[i].Stats.expectedSpeed(q.Now, q.Class, typical); rest < 0 {
			break
		}
	}
	return drawn
}

// speedLatency returns the mean service time for the class, in nanoseconds, by
// the reported speed; zero when none is reported.
func (r HostStats) speedLatency(now time.Time, c mesh.Class, typical float64) float64 {
	if typical == 0 || r.Load.Speeds[c.Index()] == 0 {
		return 0
	}
	return 1000 * float64(time.Second) * float64(r.Load.Slots) / r.expectedSpeed(now, c, typical)
}
