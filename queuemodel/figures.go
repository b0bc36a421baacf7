package queuemodel

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Figures is what one scheme came to, flat, each key with its unit.
type Figures map[string]any

// of returns the results of a class that arrived from one instant to another.
func (w *world) of(class mesh.Class, from, to time.Duration) (list []result) {
	for _, r := range w.results {
		if r.class == class && r.at >= from && r.at < to {
			list = append(list, r)
		}
	}
	return list
}

// quantile returns the time that part q of the answers did not exceed.
func quantile(list []result, q float64) time.Duration {
	times := make([]time.Duration, 0, len(list))
	for _, r := range list {
		if r.answered {
			times = append(times, r.took)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(q*float64(len(times))), len(times)-1)]
}

// answeredPart is the part of the requests answered in time.
func answeredPart(list []result) float64 {
	return rounded(float64(inTime(list)) / float64(max(len(list), 1)))
}

func inTime(list []result) (count int) {
	for _, r := range list {
		if r.inTime {
			count++
		}
	}
	return count
}

// extraLoad is the part of attempts beyond one a request.
func (w *world) extraLoad() float64 {
	return rounded(float64(w.sent)/float64(max(w.calls, 1)) - 1)
}

func millis(d time.Duration) float64 { return rounded(d.Seconds() * 1000) }

func rounded(x float64) float64 { return float64(int64(x*10000+0.5)) / 10000 }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

const whole = time.Hour // later than any run's end
