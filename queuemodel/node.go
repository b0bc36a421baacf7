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

// node is the node that takes callers' requests, with what it knows.
type node struct {
	world    *world
	zone     mesh.Zone
	reports  map[mesh.HostID]choose.Report
	inFlight map[mesh.HostID]choose.InFlight
	service  call.Service
}

// exchange is one caller's request.
type exchange struct {
	call    call.Call
	work    time.Duration
	jobs    []*job
	started int
	over    bool
}

func newNode(w *world, index int) *node {
	return &node{
		world:    w,
		zone:     zoneName(index % w.plan.Zones),
		reports:  make(map[mesh.HostID]choose.Report),
		inFlight: make(map[mesh.HostID]choose.InFlight),
	}
}

// Report implements call.Hosts.
func (n *node) Report(h mesh.HostID) choose.Report { return n.reports[h] }

// SetReport implements call.Hosts.
func (n *node) SetReport(h mesh.HostID, r choose.Report) { n.reports[h] = r }

// Leave implements call.Hosts.
func (n *node) Leave(h mesh.HostID) {
	n.inFlight[h] = n.inFlight[h].Left(n.world.now)
}

func (n *node) arrive(t Traffic, work time.Duration) {
	w := n.world
	w.calls++
	request := call.Request{
		ID: strconv.Itoa(w.calls), HostName: "h", Path: "/" + string(t.Class), Arrived: w.now, Whole: true,
	}
	x := &exchange{work: work}
	n.moved(x, call.Begin(w.now, request, n.view()))
}

func (n *node) view() call.World {
	w := n.world
	if w.scheme.Unbounded {
		n.service.Retries = call.Service{}.Retries
	}
	return call.World{
		Routes: w.routes, Zone: n.zone, Random: w.random, Pick: w.scheme.Pick,
		Candidates: func(mesh.ServiceName) []choose.Candidate { return n.candidates() },
		Service:    func(mesh.ServiceName) *call.Service { return &n.service },
	}
}

func (n *node) candidates() []choose.Candidate {
	list := make([]choose.Candidate, len(n.world.servers))
	for i := range list {
		host := hostName(i)
		list[i] = choose.Candidate{
			Host: host, Zone: zoneName(i % n.world.plan.Zones), Address: strconv.Itoa(i),
			Report: n.reports[host], InFlight: n.inFlight[host],
		}
	}
	return list
}

// moved does what a new state of the call asks for.
func (n *node) moved(x *exchange, next call.Call) {
	w := n.world
	x.call = next
	for i := len(x.jobs); i < len(next.Attempts); i++ {
		n.send(x, i)
	}
	x.call = call.Settle(w.now, x.call, n, &n.service)
	if x.call.Final() {
		n.finish(x)
		return
	}
	if wake := x.call.Wake(); !wake.IsZero() {
		w.after(wake.Sub(w.now), func() { n.again(x) })
	}
}

func (n *node) again(x *exchange) {
	if x.over {
		return
	}
	n.moved(x, call.Continue(n.world.now, x.call, n.view()))
}

func (n *node) send(x *exchange, attempt int) {
	w := n.world
	target := x.call.Attempts[attempt].Target
	n.inFlight[target.Host] = n.inFlight[target.Host].Joined(w.now)
	j := &job{work: x.work, call: x}
	sent := w.now
	j.reply = func(whole bool, reason verdict.Reason, retryAfter time.Duration, load mesh.Load) {
		w.after(w.plan.Delay, func() {
			o := call.Outcome{Verdict: verdict.NotRun, Reason: reason, Replayable: true,
				Took: w.now.Sub(sent), Load: load, RetryAfter: retryAfter}
			if whole {
				o.Verdict = verdict.Ran
			}
			n.outcome(x, attempt, o)
		})
	}
	x.jobs = append(x.jobs, j)
	index, _ := strconv.Atoi(target.Address)
	w.after(w.plan.Delay, func() {
		if x.over {
			return
		}
		j.row = admit.Request{
			ID: x.call.Request.ID + "." + strconv.Itoa(attempt), Class: x.call.Rule.Class,
			Arrived: w.now, Deadline: x.call.Deadline, State: admit.Waiting,
		}
		w.servers[index].enter(j)
	})
}

func (n *node) outcome(x *exchange, attempt int, o call.Outcome) {
	if x.over {
		return
	}
	x.call = call.Settle(n.world.now, x.call.WithOutcome(attempt, o), n, &n.service)
	n.again(x)
}

// finish notes what the caller saw, and cancels what is still under way.
func (n *node) finish(x *exchange) {
	w := n.world
	x.over = true
	c := x.call
	took := w.now.Sub(c.Request.Arrived)
	answered := c.Step.Kind == call.Answer
	w.results = append(w.results, result{
		class: c.Rule.Class, at: c.Request.Arrived.Sub(epoch), took: took, answered: answered,
		inTime: answered && !w.now.After(c.Deadline),
	})
	if c.Step.Kind == call.Refuse && c.Step.Refusal.Verdict == verdict.NotRun && x.started > 0 {
		w.lied++
	}
	for i, j := range x.jobs {
		if c.Attempts[i].Outcome != nil {
			continue
		}
		index, _ := strconv.Atoi(c.Attempts[i].Target.Address)
		w.after(w.plan.Delay, func() {
			if j.row.ID != "" {
				w.servers[index].end(j, false)
			}
		})
	}
}
