package queuemodel

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// The load peak of Overload, as times since the start. During the peak, demand
// is three times the capacity.
const (
	peakStart        = 2 * time.Second
	peakEnd          = 4 * time.Second
	overloadDuration = 8 * time.Second
	// longQueueLimit is a third of a second of work, so deadlines empty the
	// queue before it is full.
	longQueueLimit = 200
)

// Overload measures a load peak of three times the capacity. It models
// Fjordglimt's storefront: 10 backend servers of 12 slots, 20 ms a request,
// 6,000 requests a second.
func Overload(seed uint64) []Figures {
	var all []Figures
	for _, s := range overloadSchemes() {
		all = append(all, overloadFigures(s.Name, simulate(overloadScenario(seed), s)))
	}
	return all
}

// capacityPerSecond is the number of requests a second that all slots together
// can process.
const capacityPerSecond = 6000.0

func overloadScenario(seed uint64) Scenario {
	const meanServiceTime = 20 * time.Millisecond
	rateWithPeak := func(baseRatio, peakRatio float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= peakStart && at < peakEnd {
				return peakRatio * capacityPerSecond
			}
			return baseRatio * capacityPerSecond
		}
	}
	return Scenario{
		Seed: seed, Servers: 10, SlotsPerServer: 12, Zones: 3, Nodes: 13, OneWayDelay: 1500 * time.Microsecond,
		Duration: overloadDuration,
		Traffic: []Traffic{
			{mesh.Booking, rateWithPeak(0.1, 0.5), meanServiceTime, time.Second, 0},
			{mesh.Lookup, rateWithPeak(0.3, 2), meanServiceTime, 500 * time.Millisecond, 0},
			{mesh.Background, rateWithPeak(0.1, 0.5), meanServiceTime, 2 * time.Second, 0},
		},
	}
}

func overloadSchemes() []Scheme {
	return []Scheme{
		{Name: "no_limits_plain_retries", Pick: PowerOfTwo, Admit: FirstComeFirstServed, QueueLimit: longQueueLimit, MaxRetries: 3, NoRetryBudget: true},
		{Name: "no_limits", Pick: PowerOfTwo, Admit: FirstComeFirstServed, QueueLimit: longQueueLimit},
		{Name: "short_queue_first_come", Pick: choose.Pick, Admit: FirstComeFirstServed, QueueLimit: 24, MaxRetries: 2},
		{Name: "chosen", Pick: choose.Pick, Admit: admit.Decide, QueueLimit: 24, MaxRetries: 2, Hedge: true},
	}
}

func overloadFigures(name string, sim *simulation) Figures {
	goodput := 0
	for _, class := range []mesh.Class{mesh.Booking, mesh.Lookup, mesh.Background} {
		goodput += countInTime(sim.resultsBetween(class, peakStart, peakEnd))
	}
	peakSeconds := (peakEnd - peakStart).Seconds()
	duringPeak := func(c mesh.Class) []result { return sim.resultsBetween(c, peakStart, peakEnd) }
	return Figures{
		"scheme":                      name,
		"goodput_of_capacity_ratio":   rounded(float64(goodput) / (capacityPerSecond * peakSeconds)),
		"booking_in_time_ratio":       inTimeRatio(duringPeak(mesh.Booking)),
		"lookup_in_time_ratio":        inTimeRatio(duringPeak(mesh.Lookup)),
		"background_in_time_ratio":    inTimeRatio(duringPeak(mesh.Background)),
		"booking_p99_ms":              millis(latencyQuantile(duringPeak(mesh.Booking), 0.99)),
		"refusal_median_ms":           millis(medianRefusalLatency(duringPeak(mesh.Lookup))),
		"in_time_ratio_2s_after":      inTimeRatio(sim.resultsBetween(mesh.Lookup, peakEnd+2*time.Second, afterEnd)),
		"attempts_per_request_ratio":  rounded(float64(sim.attempts) / float64(sim.requests)),
		"false_refusals_count":        sim.falseRefusals,
		"bookings_run_twice_count":    sim.doubleRuns,
		"run_of_capacity_total_ratio": rounded(float64(sim.runs) / (capacityPerSecond * overloadDuration.Seconds())),
	}
}

// medianRefusalLatency returns the median latency of the requests that were not
// answered.
func medianRefusalLatency(list []result) time.Duration {
	refused := make([]result, 0, len(list))
	for _, r := range list {
		if !r.answered {
			r.answered = true // latencyQuantile skips requests that were not answered
			refused = append(refused, r)
		}
	}
	return latencyQuantile(refused, 0.5)
}
