package queuemodel

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// slowdownFactor multiplies the service times of a slowed backend server.
const slowdownFactor = 10

// Stragglers measures lookups while two randomly drawn backend servers at a time
// are slow and load reports are delayed. It models Fjordglimt's storefront: 10
// backend servers of 12 slots. Each scheme runs with and without the slowdowns.
func Stragglers(seed uint64) []Figures {
	var all []Figures
	for _, s := range stragglerSchemes() {
		all = append(all, runStragglers(stragglerScenario(seed), s))
	}
	return all
}

func runStragglers(scenario Scenario, s Scheme) Figures {
	normal := simulate(scenario, s)
	scenario.SlowFactor = drawSlowdowns(scenario.Seed, scenario)
	return stragglerFigures(s.Name, normal, simulate(scenario, s))
}

func stragglerScenario(seed uint64) Scenario {
	return Scenario{
		Seed: seed, Servers: 10, SlotsPerServer: 12, Zones: 3, Nodes: 13, OneWayDelay: 1500 * time.Microsecond,
		Duration: 30 * time.Second,
		Traffic: []Traffic{
			{mesh.Lookup, constantRate(2000), 20 * time.Millisecond, time.Second, 0},
			{mesh.Booking, constantRate(200), 20 * time.Millisecond, 2 * time.Second, 0},
		},
	}
}

func stragglerSchemes() []Scheme {
	const reportDelay = 500 * time.Millisecond
	base := Scheme{Admit: admit.Decide, QueueLimit: 24, MaxRetries: 2, LoadReportDelay: reportDelay}
	with := func(name string, pick choose.Policy, hedge bool, loadReportDelay time.Duration) Scheme {
		s := base
		s.Name, s.Pick, s.Hedge, s.LoadReportDelay = name, pick, hedge, loadReportDelay
		return s
	}
	return []Scheme{
		with("random", Random, false, reportDelay),
		with("round_robin", RoundRobin(), false, reportDelay),
		with("least_requests", LeastRequests, false, reportDelay),
		with("least_load", LeastLoad, false, reportDelay),
		with("power_of_two", PowerOfTwo, false, reportDelay),
		with("chosen_late_loads", choose.Pick, false, reportDelay),
		with("chosen_late_loads_hedged", choose.Pick, true, reportDelay),
		with("chosen", choose.Pick, false, 0),
		with("chosen_hedged", choose.Pick, true, 0),
	}
}

func stragglerFigures(name string, normal, slowed *simulation) Figures {
	before, after := normal.resultsBetween(mesh.Lookup, 0, afterEnd), slowed.resultsBetween(mesh.Lookup, 0, afterEnd)
	return Figures{
		"scheme":                   name,
		"lookup_p99_ms_calm":       millis(latencyQuantile(before, 0.99)),
		"lookup_p999_ms_calm":      millis(latencyQuantile(before, 0.999)),
		"lookup_p99_ms":            millis(latencyQuantile(after, 0.99)),
		"lookup_p999_ms":           millis(latencyQuantile(after, 0.999)),
		"lookup_in_time_ratio":     inTimeRatio(after),
		"booking_p99_ms":           millis(latencyQuantile(slowed.resultsBetween(mesh.Booking, 0, afterEnd), 0.99)),
		"booking_in_time_ratio":    inTimeRatio(slowed.resultsBetween(mesh.Booking, 0, afterEnd)),
		"extra_load_ratio":         slowed.extraLoadRatio(),
		"bookings_run_twice_count": slowed.doubleRuns,
		"false_refusals_count":     slowed.falseRefusals,
		"extra_load_ratio_calm":    normal.extraLoadRatio(),
	}
}

// drawSlowdowns returns a Scenario.SlowFactor that slows up to two servers at a time: it
// draws two, which can be the same one, for each interval.
func drawSlowdowns(seed uint64, scenario Scenario) func(int, time.Duration) float64 {
	const interval = 1500 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 7))
	intervals := int(2*scenario.Duration/interval) + 1
	slowed := make([][2]int, intervals)
	for i := range slowed {
		slowed[i] = [2]int{random.IntN(scenario.Servers), random.IntN(scenario.Servers)}
	}
	return func(server int, at time.Duration) float64 {
		pair := slowed[min(int(at/interval), intervals-1)]
		if server == pair[0] || server == pair[1] {
			return slowdownFactor
		}
		return 1
	}
}
