// Package queuemodel runs the decisions of the request path against a small
// queue model on a virtual clock: callers' nodes, a fixed delay between hosts,
// and backend servers with slots and slow moments. Each run compares the
// decisions in use with simpler ones; the same seed gives the same figures.
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

// epoch is the instant at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// Scheme is one way of taking the decisions.
type Scheme struct {
	Name string
	// Pick chooses the backend server.
	Pick choose.Policy
	// Admit decides at the admission point.
	Admit func(time.Time, admit.Limits, []admit.Request) []admit.Request
	// Hedge lets lookups be hedged.
	Hedge bool
	// Queue is the length of a backend server's queue.
	Queue int
	// Retries is the number of further attempts.
	Retries int
	// Unbounded takes the retry budget away.
	Unbounded bool
	// LateLoads is the age of the load that an answer carries.
	LateLoads time.Duration
}

// Traffic is one class's stream of requests.
type Traffic struct {
	Class mesh.Class
	// Rate is the requests a second at an instant from the start.
	Rate func(time.Duration) float64
	// Mean is the mean service time; single ones are exponential about it,
	// with a floor of a fifth.
	Mean     time.Duration
	Deadline time.Duration
}

// Plan is what a run is given.
type Plan struct {
	Seed    uint64
	Servers int
	Slots   int
	Zones   int
	Nodes   int
	// Delay is the time one way between any two hosts.
	Delay   time.Duration
	Length  time.Duration
	Traffic []Traffic
	// Slow returns how many times longer a server takes at an instant.
	Slow func(server int, at time.Duration) float64
}

// event is something due at an instant.
type event struct {
	due   time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].order < h[j].order
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

// world is one run.
type world struct {
	plan    Plan
	scheme  Scheme
	now     time.Time
	events  eventHeap
	order   int
	random  *rand.Rand
	routes  *route.Table
	servers []*server
	nodes   []*node
	calls   int
	results []result
	sent    int // attempts that reached a server
	runs    int // attempts that a server started
	ranTwo  int // non-idempotent requests started twice
	lied    int // refused as not run, but started
}

// result is what a caller saw of one request.
type result struct {
	class    mesh.Class
	at       time.Duration // of the arrival
	took     time.Duration
	answered bool
	inTime   bool
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{due: w.now.Add(d), order: w.order, run: run})
}

// run plays the plan under the scheme until every request has ended.
func run(plan Plan, scheme Scheme) *world {
	w := &world{plan: plan, scheme: scheme, now: epoch, random: rand.New(rand.NewPCG(plan.Seed, 1))}
	w.routes = compile(plan, scheme)
	for i := range plan.Servers {
		w.servers = append(w.servers, newServer(w, i))
	}
	for i := range plan.Nodes {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	for i, t := range plan.Traffic {
		w.arrivals(t, rand.New(rand.NewPCG(plan.Seed, uint64(100+i))))
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.due
		e.run()
	}
	return w
}

// arrivals plans the next request of a stream, which plans the one after.
func (w *world) arrivals(t Traffic, random *rand.Rand) {
	at := w.now.Sub(epoch)
	rate := t.Rate(at)
	if at >= w.plan.Length {
		return
	}
	gap := time.Millisecond
	if rate > 0 {
		gap = time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	w.after(gap, func() {
		if rate > 0 && w.now.Sub(epoch) < w.plan.Length {
			work := time.Duration((0.2 + 0.8*random.ExpFloat64()) * float64(t.Mean))
			w.nodes[random.IntN(len(w.nodes))].arrive(t, work)
		}
		w.arrivals(t, random)
	})
}

// compile makes a configuration with a rule for each class.
func compile(plan Plan, scheme Scheme) *route.Table {
	c := mesh.Config{
		Services: map[mesh.ServiceName]mesh.Service{service: {Name: service, Customer: "customer"}},
		Hosts:    map[mesh.HostID]mesh.Host{"h": {ID: "h", Zone: "z", Service: service}},
		Rules:    make(map[string]mesh.Rule),
	}
	for _, t := range plan.Traffic {
		name := string(t.Class)
		c.Rules[name] = mesh.Rule{
			ID: name, HostName: "h", PathPrefix: "/" + name, Service: service, Class: t.Class,
			DeadlineMillis: int(t.Deadline.Milliseconds()), Retries: scheme.Retries,
			Hedge: scheme.Hedge && t.Class == mesh.Lookup,
		}
	}
	table, faults := route.Compile(1, c)
	if len(faults) > 0 {
		panic(faults.Error())
	}
	return table
}

const service mesh.ServiceName = "service"

func zoneName(i int) mesh.Zone   { return mesh.Zone("zone-" + strconv.Itoa(i)) }
func hostName(i int) mesh.HostID { return mesh.HostID("host-" + strconv.Itoa(i)) }

var _ call.Hosts = (*node)(nil)
