// Package queuemodel simulates the request path on a virtual clock: nodes that
// receive callers' requests, a fixed network delay between hosts, and backend
// servers with a limited number of slots and optional slowdowns. Load balancing,
// retries, hedging and admission control run the production code from decide/,
// or a simpler policy to compare with. The same seed gives the same figures.
package queuemodel

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// Scheme is a combination of policies for the request path.
type Scheme struct {
	// Name is the value of the key "scheme" in the figures.
	Name string
	// Pick is the load balancing policy.
	Pick choose.Policy
	// Admit is the admission control policy of the backend servers.
	Admit func(time.Time, admit.Limits, []admit.Request) []admit.Request
	// Hedge enables hedged lookups.
	Hedge bool
	// QueueLimit is the maximum number of requests that wait at one backend
	// server.
	QueueLimit int
	// MaxRetries is the maximum number of attempts after the first one.
	MaxRetries int
	// NoRetryBudget disables the retry budget.
	NoRetryBudget bool
	// LoadReportDelay is the age of the load that a response reports; zero for
	// the current load.
	LoadReportDelay time.Duration
	// LearnsLimit enables the learned limit and the reported speeds.
	LearnsLimit bool
}

// Traffic is a stream of requests of one class.
type Traffic struct {
	Class mesh.Class
	// Rate returns the request rate, per second, at a time since the start.
	Rate func(time.Duration) float64
	// MeanServiceTime is the mean of the service times, each of which is a fifth of
	// the mean plus an exponentially distributed part.
	MeanServiceTime time.Duration
	// Deadline is the time within which a request must be answered.
	Deadline time.Duration
	// Objective is the time within which a response is worth most; zero for none.
	Objective time.Duration
}

// Scenario is the input of a run: the fleet and its traffic.
type Scenario struct {
	Seed uint64
	// Servers is the number of backend servers, SlotsPerServer the number of
	// requests that each of them processes at once.
	Servers        int
	SlotsPerServer int
	Zones          int
	// Nodes is the number of nodes that receive callers' requests.
	Nodes int
	// OneWayDelay is the one-way network delay between any two hosts.
	OneWayDelay time.Duration
	// Duration is how long requests arrive.
	Duration time.Duration
	Traffic  []Traffic
	// SlowFactor returns the factor by which a server's service times are longer
	// at a time since the start. Nil means that no server is slowed.
	SlowFactor func(server int, at time.Duration) float64
	// CrowdFactor returns the factor by which service times are longer when a
	// request begins with the given number of busy slots, including its own. Nil
	// means that they do not depend on it.
	CrowdFactor func(server, busy int) float64
	// PriorityOnly is the admission mode; see admit.Limits.
	PriorityOnly bool
}

// event is a function to run at a virtual time. Events that are due at the same
// time run in the order in which they were scheduled.
type event struct {
	due      time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].due.Before(h[j].due)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// simulation is the state and the results of one run. It is used by one
// goroutine only.
type simulation struct {
	scenario      Scenario
	scheme        Scheme
	now           time.Time
	events        eventHeap
	lastSequence  int
	random        *rand.Rand
	routes        *route.Table
	servers       []*server
	nodes         []*node
	requests      int
	results       []result
	attempts      int // that reached a server
	runs          int // attempts that a server started
	doubleRuns    int // repeated starts of a non-idempotent request
	falseRefusals int // requests refused as not run although a server started them
}

// result is the outcome of one request as its caller sees it.
type result struct {
	class     mesh.Class
	arrivedAt time.Duration // since the start of the run
	latency   time.Duration
	answered  bool
	inTime    bool // answered within the deadline
	// inObjective is true if the request was answered within its objective.
	inObjective bool
	refused     bool // as not run
}

// schedule runs a function after d of virtual time.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{due: sim.now.Add(d), sequence: sim.lastSequence, run: run})
}

// simulate runs the scenario with the scheme until every request has ended.
func simulate(scenario Scenario, scheme Scheme) *simulation {
	sim := &simulation{scenario: scenario, scheme: scheme, now: epoch, random: rand.New(rand.NewPCG(scenario.Seed, 1))}
	sim.routes = compileRoutes(scenario, scheme)
	for i := range scenario.Servers {
		sim.servers = append(sim.servers, newServer(sim, i))
	}
	for i := range scenario.Nodes {
		sim.nodes = append(sim.nodes, newNode(sim, i))
	}
	for i, t := range scenario.Traffic {
		sim.scheduleArrivals(t, rand.New(rand.NewPCG(scenario.Seed, uint64(100+i))))
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.due
		e.run()
	}
	return sim
}

// scheduleArrivals schedules the next request of a stream. That event schedules
// the one after it, until Scenario.Duration is over.
func (sim *simulation) scheduleArrivals(t Traffic, random *rand.Rand) {
	elapsed := sim.now.Sub(epoch)
	rate := t.Rate(elapsed)
	if elapsed >= sim.scenario.Duration {
		return
	}
	gap := time.Millisecond
	if rate > 0 {
		gap = time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	sim.schedule(gap, func() {
		if rate > 0 && sim.now.Sub(epoch) < sim.scenario.Duration {
			serviceTime := time.Duration((0.2 + 0.8*random.ExpFloat64()) * float64(t.MeanServiceTime))
			sim.nodes[random.IntN(len(sim.nodes))].receive(t, serviceTime)
		}
		sim.scheduleArrivals(t, random)
	})
}

// compileRoutes compiles a configuration with one rule for each class.
func compileRoutes(scenario Scenario, scheme Scheme) *route.Table {
	c := mesh.Config{
		Services: map[mesh.ServiceName]mesh.Service{serviceName: {Name: serviceName, Customer: "customer"}},
		Hosts:    map[mesh.HostID]mesh.Host{"h": {ID: "h", Zone: "z", Service: serviceName}},
		Rules:    make(map[string]mesh.Rule),
	}
	for _, t := range scenario.Traffic {
		name := string(t.Class)
		c.Rules[name] = mesh.Rule{
			ID: name, HostName: "h", PathPrefix: "/" + name, Service: serviceName, Class: t.Class,
			DeadlineMillis: int(t.Deadline.Milliseconds()), Retries: scheme.MaxRetries,
			Hedge: scheme.Hedge && t.Class == mesh.Lookup,
		}
	}
	table, faults := route.Compile(1, c)
	if len(faults) > 0 {
		panic(faults.Error())
	}
	return table
}

const serviceName mesh.ServiceName = "service"

func zoneName(i int) mesh.Zone   { return mesh.Zone("zone-" + strconv.Itoa(i)) }
func hostName(i int) mesh.HostID { return mesh.HostID("host-" + strconv.Itoa(i)) }

var _ call.HostStatsStore = (*node)(nil)
