package queuemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Speeds measures services whose backend servers differ in speed, with the loads
// of docs/HARD-LOAD.md: the storefront and the payments of deployment A, the
// planner and the ledger of deployment B, and the counter of A with one kind of
// server that slows down from half of its slots on. Each service runs at its usual
// rate, with a burst of 1.3 times that for 5 s.
func Speeds(seed uint64) []Figures {
	var all []Figures
	for _, s := range speedScenarios(seed) {
		for _, scheme := range speedSchemes(s.speeds, s.Zones) {
			all = append(all, speedFigures(s.name, scheme.Name, simulate(s.Scenario, scheme)))
		}
	}
	return all
}

// speedScenario is the scenario of one service.
type speedScenario struct {
	Scenario
	name   string
	speeds []float64 // of the servers, repeated
}

// Times of the slowdowns of deployment B: in each interval, slowedShare of the
// servers are slowed for slowedTime.
const (
	slowedInterval = 3 * time.Second
	slowedTime     = 600 * time.Millisecond
	slowedShare    = 0.15
	slowedFactor   = 2.5
	speedsDuration = 25 * time.Second
	// The burst of a run, as times since the start, and its factor.
	burstStart  = 15 * time.Second
	burstEnd    = 20 * time.Second
	burstFactor = 1.3
)

func speedScenarios(seed uint64) (all []speedScenario) {
	rate := func(perSecond float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= burstStart && at < burstEnd {
				return burstFactor * perSecond
			}
			return perSecond
		}
	}
	storefront := speedScenario{
		name: "storefront", speeds: []float64{0.5, 1, 1, 1.5},
		Scenario: Scenario{Seed: seed, Servers: 33, SlotsPerServer: 9, Zones: 4, Nodes: 69, Traffic: []Traffic{
			{Class: mesh.Lookup, Rate: rate(1095), MeanServiceTime: 140 * time.Millisecond, Deadline: 800 * time.Millisecond, Objective: 400 * time.Millisecond},
		}},
	}
	payments := speedScenario{
		name: "payments", speeds: []float64{0.6, 1, 1.4},
		Scenario: Scenario{Seed: seed, Servers: 10, SlotsPerServer: 9, Zones: 4, Nodes: 69, Traffic: []Traffic{
			{Class: mesh.Booking, Rate: rate(405), MeanServiceTime: 99 * time.Millisecond, Deadline: 1200 * time.Millisecond, Objective: 250 * time.Millisecond},
			{Class: mesh.Lookup, Rate: rate(700), MeanServiceTime: 35 * time.Millisecond, Deadline: 400 * time.Millisecond, Objective: 150 * time.Millisecond},
		}},
	}
	counter := speedScenario{
		name: "counter_crowded", speeds: []float64{0.6, 1, 1.4},
		Scenario: Scenario{Seed: seed, Servers: 26, SlotsPerServer: 9, Zones: 4, Nodes: 69, Traffic: []Traffic{
			{Class: mesh.Booking, Rate: rate(500), MeanServiceTime: 180 * time.Millisecond, Deadline: time.Second, Objective: time.Second},
			{Class: mesh.Lookup, Rate: rate(1533), MeanServiceTime: 35 * time.Millisecond, Deadline: 400 * time.Millisecond, Objective: 150 * time.Millisecond},
		}},
	}
	counter.CrowdFactor = crowded(9, func(server int) bool { return server%3 == 1 })
	planner := speedScenario{
		name: "planner", speeds: []float64{0.7, 0.7, 1.7},
		Scenario: Scenario{Seed: seed, Servers: 22, SlotsPerServer: 6, Zones: 3, Nodes: 61, Traffic: []Traffic{
			{Class: mesh.Lookup, Rate: rate(900), MeanServiceTime: 100 * time.Millisecond, Deadline: 800 * time.Millisecond, Objective: 300 * time.Millisecond},
		}},
	}
	ledger := speedScenario{
		name: "ledger", speeds: []float64{0.5, 1, 1, 1.5},
		Scenario: Scenario{Seed: seed, Servers: 16, SlotsPerServer: 6, Zones: 3, Nodes: 61, Traffic: []Traffic{
			{Class: mesh.Booking, Rate: rate(600), MeanServiceTime: 110 * time.Millisecond, Deadline: 1200 * time.Millisecond, Objective: 500 * time.Millisecond},
		}},
	}
	for _, s := range []speedScenario{storefront, payments, counter, planner, ledger} {
		s.Duration, s.PriorityOnly, s.OneWayDelay = speedsDuration, true, 500*time.Microsecond
		var slowed func(int, time.Duration) float64
		if s.Zones == 3 {
			slowed, s.OneWayDelay = drawPauses(seed, s.Servers), 900*time.Microsecond
		}
		speeds, zones := s.speeds, s.Zones // each zone has servers of all speeds
		s.SlowFactor = func(server int, at time.Duration) float64 {
			factor := 1 / speeds[server/zones%len(speeds)]
			if slowed != nil {
				factor *= slowed(server, at)
			}
			return factor
		}
		all = append(all, s)
	}
	return all
}

// crowded returns a Scenario.CrowdFactor for the servers that isCrowded selects.
// From half of the slots on their service times grow faster than the number of
// requests, so that each further one lowers the throughput.
func crowded(slots int, isCrowded func(int) bool) func(server, busy int) float64 {
	return func(server, busy int) float64 {
		if !isCrowded(server) {
			return 1
		}
		return math.Pow(max(1, float64(busy)/(float64(slots)/2)), 1.75)
	}
}

// drawPauses returns the factors of the slowdowns of deployment B.
func drawPauses(seed uint64, servers int) func(int, time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, 9))
	slowed := make([][]bool, int(2*speedsDuration/slowedInterval)+1)
	for i := range slowed {
		slowed[i] = make([]bool, servers)
		for j := range servers {
			slowed[i][j] = random.Float64() < slowedShare
		}
	}
	return func(server int, at time.Duration) float64 {
		interval := min(int(at/slowedInterval), len(slowed)-1)
		if at%slowedInterval < slowedTime && slowed[interval][server] {
			return slowedFactor
		}
		return 1
	}
}

// FixedWeights returns a load balancing policy that draws a candidate in
// proportion to the weight of its address, a number from 0.
func FixedWeights(weight func(address string) float64) choose.Policy {
	return func(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
		total := 0.0
		for _, c := range list {
			total += weight(c.Address)
		}
		rest := q.Random.Float64() * total
		for _, c := range list {
			if rest -= weight(c.Address); rest < 0 {
				return c, true
			}
		}
		return Random(q, list)
	}
}

func speedSchemes(speeds []float64, zones int) []Scheme {
	base := Scheme{Admit: admit.Decide, QueueLimit: 36, MaxRetries: 1}
	weights, today, learned := base, base, base
	weights.Name, weights.Pick = "fixed_weights", FixedWeights(func(address string) float64 {
		return speeds[serverIndex(address)/zones%len(speeds)]
	})
	today.Name, today.Pick = "today", choose.Pick
	learned.Name, learned.Pick, learned.LearnsLimit = "learned", choose.Pick, true
	return []Scheme{weights, today, learned}
}

func speedFigures(service, scheme string, sim *simulation) Figures {
	var list []result
	// The first 5 s are the cold start.
	for _, r := range sim.results {
		if r.arrivedAt >= 5*time.Second {
			list = append(list, r)
		}
	}
	var total time.Duration
	answered, inObjective, refused := 0, 0, 0
	for _, r := range list {
		if r.answered {
			total += r.latency
			answered++
		}
		if r.inObjective {
			inObjective++
		}
		if r.refused {
			refused++
		}
	}
	limits := 0
	for _, s := range sim.servers {
		limits += s.slots()
	}
	return Figures{
		"service":            service,
		"scheme":             scheme,
		"mean_ms":            millis(total / time.Duration(max(answered, 1))),
		"p95_ms":             millis(latencyQuantile(list, 0.95)),
		"in_objective_ratio": rounded(float64(inObjective) / float64(max(len(list), 1))),
		"refused_ratio":      rounded(float64(refused) / float64(max(len(list), 1))),
		"limit_at_end_mean":  rounded(float64(limits) / float64(len(sim.servers))),
	}
}
