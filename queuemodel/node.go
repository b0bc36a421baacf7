package queuemodel

import (
	"strconv"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// node receives callers' requests. It holds the statistics about the backend
// servers that load balancing uses.
type node struct {
	sim      *simulation
	zone     mesh.Zone
	stats    map[mesh.HostID]choose.HostStats
	inFlight map[mesh.HostID]choose.InFlight
	service  call.ServiceState
}

// request is one caller's request with its attempts.
type request struct {
	call        call.Call
	serviceTime time.Duration
	objective   time.Duration // since the arrival; zero for none
	jobs        []*job        // one for each of the call's attempts, in the same order
	started     int           // attempts that a server started
	ended       bool
}

func newNode(sim *simulation, index int) *node {
	return &node{
		sim:      sim,
		zone:     zoneName(index % sim.scenario.Zones),
		stats:    make(map[mesh.HostID]choose.HostStats),
		inFlight: make(map[mesh.HostID]choose.InFlight),
	}
}

// HostStats implements call.HostStatsStore.
func (n *node) HostStats(h mesh.HostID) choose.HostStats { return n.stats[h] }

// SetHostStats implements call.HostStatsStore.
func (n *node) SetHostStats(h mesh.HostID, s choose.HostStats) { n.stats[h] = s }

// DecrementInFlight implements call.HostStatsStore.
func (n *node) DecrementInFlight(h mesh.HostID) {
	n.inFlight[h] = n.inFlight[h].Decremented(n.sim.now)
}

func (n *node) receive(t Traffic, serviceTime time.Duration) {
	sim := n.sim
	sim.requests++
	callRequest := call.Request{
		ID: strconv.Itoa(sim.requests), HostName: "h", Path: "/" + string(t.Class), Arrived: sim.now, BodyBuffered: true,
	}
	r := &request{serviceTime: serviceTime, objective: t.Objective}
	n.apply(r, call.Begin(sim.now, callRequest, n.callInputs()))
}

// callInputs returns the inputs of a decision on a call. If the scheme has no
// retry budget, it refills the service's budget first.
func (n *node) callInputs() call.Environment {
	sim := n.sim
	if sim.scheme.NoRetryBudget {
		n.service.RetryBudget = call.ServiceState{}.RetryBudget
	}
	return call.Environment{
		Routes: sim.routes, Zone: n.zone, Random: sim.random, Pick: sim.scheme.Pick,
		Candidates: func(mesh.ServiceName) []choose.Candidate { return n.candidates() },
		Service:    func(mesh.ServiceName) *call.ServiceState { return &n.service },
	}
}

func (n *node) candidates() []choose.Candidate {
	list := make([]choose.Candidate, len(n.sim.servers))
	for i := range list {
		host := hostName(i)
		list[i] = choose.Candidate{
			Host: host, Zone: zoneName(i % n.sim.scenario.Zones), Address: strconv.Itoa(i),
			Stats: n.stats[host], InFlight: n.inFlight[host],
		}
	}
	return list
}

// apply stores the next state of the call, sends the attempts that it adds, and
// ends the request or schedules the next decision.
func (n *node) apply(r *request, next call.Call) {
	sim := n.sim
	r.call = next
	for i := len(r.jobs); i < len(next.Attempts); i++ {
		n.send(r, i)
	}
	r.call = call.RecordOutcomes(sim.now, r.call, n, &n.service)
	if r.call.Final() {
		n.finish(r)
		return
	}
	if wake := r.call.NextDecisionAt(); !wake.IsZero() {
		sim.schedule(wake.Sub(sim.now), func() { n.resume(r) })
	}
}

// resume takes the next decision on a request that has not ended.
func (n *node) resume(r *request) {
	if r.ended {
		return
	}
	n.apply(r, call.Continue(n.sim.now, r.call, n.callInputs()))
}

func (n *node) send(r *request, attempt int) {
	sim := n.sim
	target := r.call.Attempts[attempt].Target
	n.inFlight[target.Host] = n.inFlight[target.Host].Incremented(sim.now)
	j := &job{serviceTime: r.serviceTime, request: r}
	sentAt := sim.now
	j.reply = func(completed bool, reason verdict.Reason, retryAfter time.Duration, load mesh.Load) {
		sim.schedule(sim.scenario.OneWayDelay, func() {
			o := call.Outcome{Verdict: verdict.NotRun, Reason: reason, Replayable: true,
				Latency: sim.now.Sub(sentAt), Load: load, RetryAfter: retryAfter}
			if completed {
				o.Verdict = verdict.Ran
			}
			n.handleOutcome(r, attempt, o)
		})
	}
	r.jobs = append(r.jobs, j)
	index := serverIndex(target.Address)
	sim.schedule(sim.scenario.OneWayDelay, func() {
		if r.ended {
			return
		}
		j.row = admit.Request{
			ID: r.call.Request.ID + "." + strconv.Itoa(attempt), Class: r.call.Rule.Class,
			Arrived: sim.now, Deadline: r.call.Deadline, State: admit.Waiting,
		}
		if r.objective > 0 {
			j.row.Objective = r.call.Request.Arrived.Add(r.objective)
		}
		sim.servers[index].enqueue(j)
	})
}

func (n *node) handleOutcome(r *request, attempt int, o call.Outcome) {
	if r.ended {
		return
	}
	r.call = call.RecordOutcomes(n.sim.now, r.call.WithOutcome(attempt, o), n, &n.service)
	n.resume(r)
}

// finish records the result of a request and cancels its attempts that have no
// outcome.
func (n *node) finish(r *request) {
	sim := n.sim
	r.ended = true
	c := r.call
	latency := sim.now.Sub(c.Request.Arrived)
	answered := c.Step.Kind == call.Answer
	sim.results = append(sim.results, result{
		class: c.Rule.Class, arrivedAt: c.Request.Arrived.Sub(epoch), latency: latency, answered: answered,
		inTime:      answered && !sim.now.After(c.Deadline),
		inObjective: answered && (r.objective == 0 || latency <= r.objective),
		refused:     c.Step.Kind == call.Refuse && c.Step.Refusal.Verdict == verdict.NotRun,
	})
	if c.Step.Kind == call.Refuse && c.Step.Refusal.Verdict == verdict.NotRun && r.started > 0 {
		sim.falseRefusals++
	}
	for i, j := range r.jobs {
		if c.Attempts[i].Outcome != nil {
			continue
		}
		index := serverIndex(c.Attempts[i].Target.Address)
		sim.schedule(sim.scenario.OneWayDelay, func() {
			if j.row.ID != "" {
				sim.servers[index].end(j, false)
			}
		})
	}
}

// serverIndex returns the index of the server with the address.
func serverIndex(address string) int {
	index, _ := strconv.Atoi(address)
	return index
}
