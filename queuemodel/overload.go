package queuemodel

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// The crest of Overload: demand goes to three times capacity and back.
const (
	crestFrom = 2 * time.Second
	crestTo   = 4 * time.Second
	crestEnd  = 8 * time.Second
	// endless is a queue that deadlines empty before it is full: the work of a
	// third of a second.
	endless = 200
)

// Overload measures a swing to three times capacity at Fjordglimt's
// storefront: 10 backend servers of 12 slots, 20 ms a request, 6,000 a second.
func Overload(seed uint64) []Figures {
	var all []Figures
	for _, s := range overloadSchemes() {
		all = append(all, overloadFigures(s.Name, run(overloadPlan(seed), s)))
	}
	return all
}

// capacity is the requests a second that all slots together can end.
const capacity = 6000.0

func overloadPlan(seed uint64) Plan {
	const mean = 20 * time.Millisecond
	swing := func(calm, crest float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= crestFrom && at < crestTo {
				return crest * capacity
			}
			return calm * capacity
		}
	}
	return Plan{
		Seed: seed, Servers: 10, Slots: 12, Zones: 3, Nodes: 13, Delay: 1500 * time.Microsecond,
		Length: crestEnd,
		Traffic: []Traffic{
			{mesh.Booking, swing(0.1, 0.5), mean, time.Second},
			{mesh.Lookup, swing(0.3, 2), mean, 500 * time.Millisecond},
			{mesh.Background, swing(0.1, 0.5), mean, 2 * time.Second},
		},
	}
}

func overloadSchemes() []Scheme {
	return []Scheme{
		{Name: "no_limits_plain_retries", Pick: PowerOfTwo, Admit: FirstCome, Queue: endless, Retries: 3, Unbounded: true},
		{Name: "no_limits", Pick: PowerOfTwo, Admit: FirstCome, Queue: endless},
		{Name: "short_queue_first_come", Pick: choose.Pick, Admit: FirstCome, Queue: 24, Retries: 2},
		{Name: "chosen", Pick: choose.Pick, Admit: admit.Decide, Queue: 24, Retries: 2, Hedge: true},
	}
}

func overloadFigures(name string, w *world) Figures {
	good := 0
	for _, class := range []mesh.Class{mesh.Booking, mesh.Lookup, mesh.Background} {
		good += inTime(w.of(class, crestFrom, crestTo))
	}
	seconds := (crestTo - crestFrom).Seconds()
	crest := func(c mesh.Class) []result { return w.of(c, crestFrom, crestTo) }
	return Figures{
		"scheme":                      name,
		"goodput_of_capacity_ratio":   rounded(float64(good) / (capacity * seconds)),
		"booking_in_time_ratio":       answeredPart(crest(mesh.Booking)),
		"lookup_in_time_ratio":        answeredPart(crest(mesh.Lookup)),
		"background_in_time_ratio":    answeredPart(crest(mesh.Background)),
		"booking_p99_ms":              millis(quantile(crest(mesh.Booking), 0.99)),
		"refusal_median_ms":           millis(refusalMedian(crest(mesh.Lookup))),
		"in_time_ratio_2s_after":      answeredPart(w.of(mesh.Lookup, crestTo+2*time.Second, whole)),
		"attempts_per_request_ratio":  rounded(float64(w.sent) / float64(w.calls)),
		"false_refusals_count":        w.lied,
		"bookings_run_twice_count":    w.ranTwo,
		"run_of_capacity_total_ratio": rounded(float64(w.runs) / (capacity * crestEnd.Seconds())),
	}
}

// refusalMedian is how soon half of the refused requests were told so.
func refusalMedian(list []result) time.Duration {
	refused := make([]result, 0, len(list))
	for _, r := range list {
		if !r.answered {
			r.answered = true
			refused = append(refused, r)
		}
	}
	return quantile(refused, 0.5)
}
