package stepped

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	front "github.com/marigoldshelf/marigoldshelf/front/distrib"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// settleLimit bounds the steps of a node at one instant.
	settleLimit = 10_000
	// answerTimeout is how long an answer may take beyond the time for which
	// it may be held.
	answerTimeout = 3 * time.Second
)

// Node is the configuration part of one node.
type Node struct {
	Member mesh.Member
	Tables *tables.Tables

	fleet    *Fleet
	pool     *controller.Pool
	stopped  bool
	timerAt  time.Time
	inFlight map[string]bool
	pulls    map[string]func(spread.Answer) // by the ID of the pull here
	count    int
}

// Start starts a node, anew if its host ran before; it forgets everything.
func (f *Fleet) Start(host mesh.HostID, zone mesh.Zone, region mesh.Region) *Node {
	f.Stop(host)
	f.starts++
	var options []blackboard.Option
	if f.options.Check {
		options = append(options, blackboard.CheckOrder())
	}
	n := &Node{
		Member: mesh.Member{
			Host: host, Zone: zone, Region: region, State: mesh.Alive,
			Incarnation: mesh.Incarnation(f.Clock.Now().UnixNano()), PeerAddress: string(host),
		},
		Tables:   tables.New(blackboard.New(options...)),
		fleet:    f,
		pool:     controller.New(f.Clock, 1),
		inFlight: make(map[string]bool),
		pulls:    make(map[string]func(spread.Answer)),
	}
	node.Configuration{
		Self: n.Member, Started: f.Clock.Now(), Seed: f.options.Seed + f.starts,
		Spread: f.options.Spread, Snapshots: f.options.Snapshots, Count: f.count,
	}.Register(n.pool, n.Tables)
	f.Nodes[host] = n
	f.after(0, n.turn)
	return n
}

// Stop ends a node at once; what it had under way is lost.
func (f *Fleet) Stop(host mesh.HostID) {
	if n, found := f.Nodes[host]; found {
		n.stopped = true
		delete(f.Nodes, host)
	}
}

// Tell makes the present members known to every node, as membership would
// some time after a change.
func (f *Fleet) Tell() {
	for _, host := range f.Hosts() {
		f.Nodes[host].learn(f)
	}
}

func (n *Node) learn(f *Fleet) {
	t := n.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Members.Each(tx, func(host mesh.HostID, _ mesh.Member) bool {
			if _, runs := f.Nodes[host]; !runs {
				t.Members.Delete(tx, host)
			}
			return true
		})
		for host, other := range f.Nodes {
			if old, _ := t.Members.Get(tx, host); old != other.Member {
				t.Members.Put(tx, host, other.Member)
			}
		}
	}, t.Members.Write())
	f.after(0, n.turn)
}

// Version returns the version in force; zero for none.
func (n *Node) Version() mesh.Version {
	if routes := n.Tables.Routes.Load(); routes != nil {
		return routes.Version
	}
	return 0
}

// turn steps the node until it has nothing to do, sends what it put into its
// outboxes, and comes back at its next timer.
func (n *Node) turn() {
	if n.stopped {
		return
	}
	if n.pool.Settle(settleLimit) == settleLimit {
		panic("stepped: node " + string(n.Member.Host) + " does not settle")
	}
	n.send()
	n.answerPulls()
	next, pending := n.pool.NextTimer()
	if pending && !next.Equal(n.timerAt) {
		n.timerAt = next
		n.fleet.after(max(next.Sub(n.fleet.Clock.Now()), 0), n.turn)
	}
}

// answerPulls sends the answers that the controllers decided.
func (n *Node) answerPulls() {
	t := n.Tables
	type answered struct {
		id     string
		answer spread.Answer
	}
	var list []answered
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Pulls.Each(tx, func(id string, p spread.Pull) bool {
			if p.Answer != nil {
				list = append(list, answered{id, *p.Answer})
				t.Pulls.Delete(tx, id)
			}
			return true
		})
	}, t.Pulls.Write())
	for _, a := range list {
		n.pulls[a.id](a.answer)
		delete(n.pulls, a.id)
	}
}

// serve takes a request of another node in.
func (n *Node) serve(m *distrib.PullRequest, reply func(spread.Answer)) {
	request, wait, err := distrib.ToRequest(m)
	if n.stopped || err != nil {
		return
	}
	n.count++
	id := strconv.Itoa(n.count)
	n.pulls[id] = reply
	now := n.fleet.Clock.Now()
	t := n.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Pulls.Put(tx, id, spread.Pull{Request: request, Arrived: now, Deadline: now.Add(wait)})
	}, t.Pulls.Write())
	n.turn()
}

// ask sends a request to another node; the outcome comes back exactly once.
func (n *Node) ask(a spread.Ask, done func(tables.AskResult)) {
	f := n.fleet
	ended := false
	finish := func(r tables.AskResult) {
		if !ended {
			ended = true
			done(r)
		}
	}
	f.after(a.Wait+answerTimeout, func() { finish(tables.AskResult{Ask: a, Err: eventlog.ErrUnavailable}) })
	if f.lost(n.Member.Host, a.To.Host) {
		return
	}
	message := distrib.FromRequest(a.Request, a.Wait)
	size := proto.Size(message)
	f.after(f.oneWay(), func() {
		other, runs := f.Nodes[a.To.Host]
		if !runs {
			finish(tables.AskResult{Ask: a, Err: eventlog.ErrUnavailable})
			return
		}
		other.serve(message, func(answer spread.Answer) {
			if f.lost(a.To.Host, n.Member.Host) {
				return
			}
			reply := proto.CloneOf(distrib.FromAnswer(answer))
			f.garble(reply)
			size += proto.Size(reply)
			f.Traffic.Pulls++
			f.Traffic.PullBytes += size
			f.Traffic.Asked[a.To.Host] += size
			f.Traffic.AskedTimes[a.To.Host]++
			f.after(f.oneWay(), func() {
				decoded, err := distrib.ToAnswer(reply)
				finish(tables.AskResult{Ask: a, Answer: decoded, Err: err})
			})
		})
	})
}

// recall asks another node what it remembers of a host.
func (n *Node) recall(a tables.RecallAsk, done func(spread.Recalled)) {
	f := n.fleet
	fail := func() { done(spread.Recalled{Failed: true, At: f.Clock.Now()}) }
	if f.lost(n.Member.Host, a.To.Host) {
		f.after(answerTimeout, fail)
		return
	}
	f.after(f.oneWay()+f.oneWay(), func() {
		other, runs := f.Nodes[a.To.Host]
		if !runs {
			fail()
			return
		}
		server := front.Server{Tables: other.Tables, Clock: f.Clock}
		answer, err := server.Recall(context.Background(), &distrib.RecallRequest{Host: string(a.Host)})
		if err != nil {
			fail()
			return
		}
		recall := spread.Recall{Version: mesh.Version(answer.Version), Settled: answer.Settled}
		done(spread.Recalled{Recall: recall, At: f.Clock.Now()})
	})
}
