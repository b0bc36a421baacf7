package queuemodel

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Figures holds the results of one scheme. Its keys name the quantity and its
// unit; the values are numbers, except for the name of the scheme.
type Figures map[string]any

// resultsBetween returns the results of a class's requests that arrived from
// one time since the start to another, excluding the latter.
func (sim *simulation) resultsBetween(class mesh.Class, from, to time.Duration) (list []result) {
	for _, r := range sim.results {
		if r.class == class && r.arrivedAt >= from && r.arrivedAt < to {
			list = append(list, r)
		}
	}
	return list
}

// latencyQuantile returns the quantile q, 0 to 1, of the latencies of the
// answered requests; zero when none was answered.
func latencyQuantile(list []result, q float64) time.Duration {
	latencies := make([]time.Duration, 0, len(list))
	for _, r := range list {
		if r.answered {
			latencies = append(latencies, r.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(int(q*float64(len(latencies))), len(latencies)-1)]
}

// inTimeRatio returns the ratio of requests answered within the deadline.
func inTimeRatio(list []result) float64 {
	return rounded(float64(countInTime(list)) / float64(max(len(list), 1)))
}

func countInTime(list []result) (count int) {
	for _, r := range list {
		if r.inTime {
			count++
		}
	}
	return count
}

// extraLoadRatio returns the number of attempts beyond one for each request,
// relative to the number of requests.
func (sim *simulation) extraLoadRatio() float64 {
	return rounded(float64(sim.attempts)/float64(max(sim.requests, 1)) - 1)
}

func millis(d time.Duration) float64 { return rounded(d.Seconds() * 1000) }

// rounded rounds a positive number to four decimal places.
func rounded(x float64) float64 { return float64(int64(x*10000+0.5)) / 10000 }

func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

const afterEnd = time.Hour // later than the end of any run
