package queuemodel

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// slowFactor is how many times longer a slowed backend server takes.
const slowFactor = 10

// Stragglers measures lookups while two backend servers are slowed at random
// moments and load reports come late: Fjordglimt's storefront, 10 backend
// servers of 12 slots.
func Stragglers(seed uint64) []Figures {
	var all []Figures
	for _, s := range stragglerSchemes() {
		all = append(all, stragglersUnder(stragglerPlan(seed), s))
	}
	return all
}

func stragglersUnder(plan Plan, s Scheme) Figures {
	calm := run(plan, s)
	plan.Slow = slowMoments(plan.Seed, plan)
	return stragglerFigures(s.Name, calm, run(plan, s))
}

func stragglerPlan(seed uint64) Plan {
	return Plan{
		Seed: seed, Servers: 10, Slots: 12, Zones: 3, Nodes: 13, Delay: 1500 * time.Microsecond,
		Length: 30 * time.Second,
		Traffic: []Traffic{
			{mesh.Lookup, steady(2000), 20 * time.Millisecond, time.Second},
			{mesh.Booking, steady(200), 20 * time.Millisecond, 2 * time.Second},
		},
	}
}

func stragglerSchemes() []Scheme {
	const late = 500 * time.Millisecond
	base := Scheme{Admit: admit.Decide, Queue: 24, Retries: 2, LateLoads: late}
	with := func(name string, pick choose.Policy, hedge bool, lateLoads time.Duration) Scheme {
		s := base
		s.Name, s.Pick, s.Hedge, s.LateLoads = name, pick, hedge, lateLoads
		return s
	}
	return []Scheme{
		with("random", Random, false, late),
		with("round_robin", RoundRobin(), false, late),
		with("least_requests", LeastRequests, false, late),
		with("least_load", LeastLoad, false, late),
		with("power_of_two", PowerOfTwo, false, late),
		with("chosen_late_loads", choose.Pick, false, late),
		with("chosen_late_loads_hedged", choose.Pick, true, late),
		with("chosen", choose.Pick, false, 0),
		with("chosen_hedged", choose.Pick, true, 0),
	}
}

func stragglerFigures(name string, calm, slowed *world) Figures {
	before, after := calm.of(mesh.Lookup, 0, whole), slowed.of(mesh.Lookup, 0, whole)
	return Figures{
		"scheme":                   name,
		"lookup_p99_ms_calm":       millis(quantile(before, 0.99)),
		"lookup_p999_ms_calm":      millis(quantile(before, 0.999)),
		"lookup_p99_ms":            millis(quantile(after, 0.99)),
		"lookup_p999_ms":           millis(quantile(after, 0.999)),
		"lookup_in_time_ratio":     answeredPart(after),
		"booking_p99_ms":           millis(quantile(slowed.of(mesh.Booking, 0, whole), 0.99)),
		"booking_in_time_ratio":    answeredPart(slowed.of(mesh.Booking, 0, whole)),
		"extra_load_ratio":         slowed.extraLoad(),
		"bookings_run_twice_count": slowed.ranTwo,
		"false_refusals_count":     slowed.lied,
		"extra_load_ratio_calm":    calm.extraLoad(),
	}
}

// slowMoments slows two servers at a time, drawn anew every second and a half.
func slowMoments(seed uint64, plan Plan) func(int, time.Duration) float64 {
	const moment = 1500 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 7))
	moments := int(2*plan.Length/moment) + 1
	slowed := make([][2]int, moments)
	for i := range slowed {
		slowed[i] = [2]int{random.IntN(plan.Servers), random.IntN(plan.Servers)}
	}
	return func(server int, at time.Duration) float64 {
		pair := slowed[min(int(at/moment), moments-1)]
		if server == pair[0] || server == pair[1] {
			return slowFactor
		}
		return 1
	}
}
