package stepped

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	front "github.com/marigoldshelf/marigoldshelf/front/distrib"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// maxStepsPerInstant bounds the controller calls of a node at one instant;
	// reaching it means that controllers requeue each other without end.
	maxStepsPerInstant = 10_000
	// replyTimeout bounds the wait for a reply, beyond the time for which the
	// other side holds the request.
	replyTimeout = 3 * time.Second
)

// Node runs the configuration controllers of one node.
type Node struct {
	// Member is the node's entry in the member tables.
	Member mesh.Member
	Tables *tables.Tables

	fleet       *Fleet
	pool        *controller.Pool
	stopped     bool
	timerAt     time.Time                                // the last timer scheduled
	inFlight    map[string]bool                          // by outbox and key
	pullReplies map[string]func(distribution.PullAnswer) // by key in the table IncomingPulls
	pullCount   int                                      // pulls received
}

// StartNode starts a node on a host with empty tables. A node that runs on the
// host is stopped first.
func (f *Fleet) StartNode(host mesh.HostID, zone mesh.Zone, region mesh.Region) *Node {
	f.StopNode(host)
	f.startCount++
	var options []blackboard.Option
	if f.options.CheckLockOrder {
		options = append(options, blackboard.PanicOnNested())
	}
	n := &Node{
		Member: mesh.Member{
			Host: host, Zone: zone, Region: region, State: mesh.Alive,
			Incarnation: mesh.Incarnation(f.Clock.Now().UnixNano()), PeerAddress: string(host),
		},
		Tables:      tables.New(blackboard.New(options...)),
		fleet:       f,
		pool:        controller.NewPool(f.Clock, 1),
		inFlight:    make(map[string]bool),
		pullReplies: make(map[string]func(distribution.PullAnswer)),
	}
	node.ConfigControllers{
		Self: n.Member, StartedAt: f.Clock.Now(), Seed: f.options.Seed + f.startCount,
		Distribution: f.options.Distribution, SnapshotPolicy: f.options.Snapshots, Count: f.countEvent,
	}.Register(n.pool, n.Tables)
	f.Nodes[host] = n
	f.schedule(0, n.step)
	return n
}

// StopNode stops the node on a host, if there is one. Results of its requests in
// flight are discarded.
func (f *Fleet) StopNode(host mesh.HostID) {
	if n, found := f.Nodes[host]; found {
		n.stopped = true
		delete(f.Nodes, host)
	}
}

// UpdateMembership replaces the member table of every node by the running nodes.
// It is called in place of the membership protocol, which updates the tables some
// time after a change.
func (f *Fleet) UpdateMembership() {
	for _, host := range f.Hosts() {
		f.Nodes[host].updateMembers(f)
	}
}

func (n *Node) updateMembers(f *Fleet) {
	t := n.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Members.Each(tx, func(host mesh.HostID, _ mesh.Member) bool {
			if _, running := f.Nodes[host]; !running {
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
	f.schedule(0, n.step)
}

// Version returns the configuration version that the node serves; zero for none.
func (n *Node) Version() mesh.Version {
	if routes := n.Tables.Routes.Load(); routes != nil {
		return routes.Version
	}
	return 0
}

// step runs the node's controllers until none is ready, serves the outboxes and
// decided pulls, and schedules itself for the next timer.
func (n *Node) step() {
	if n.stopped {
		return
	}
	if n.pool.StepUntilIdle(maxStepsPerInstant) == maxStepsPerInstant {
		panic("stepped: node " + string(n.Member.Host) + " exceeds the limit of controller calls at one instant")
	}
	n.serveOutboxes()
	n.answerPulls()
	next, pending := n.pool.NextTimer()
	if pending && !next.Equal(n.timerAt) {
		n.timerAt = next
		n.fleet.schedule(max(next.Sub(n.fleet.Clock.Now()), 0), n.step)
	}
}

// answerPulls sends the answers that the controllers wrote to the table
// IncomingPulls, and deletes their rows.
func (n *Node) answerPulls() {
	t := n.Tables
	type answered struct {
		id     string
		answer distribution.PullAnswer
	}
	var list []answered
	t.Board.Do(func(tx *blackboard.Tx) {
		t.IncomingPulls.Each(tx, func(id string, p distribution.IncomingPull) bool {
			if p.Answer != nil {
				list = append(list, answered{id, *p.Answer})
				t.IncomingPulls.Delete(tx, id)
			}
			return true
		})
	}, t.IncomingPulls.Write())
	for _, a := range list {
		n.pullReplies[a.id](a.answer)
		delete(n.pullReplies, a.id)
	}
}

// servePull writes a pull of another node to the table IncomingPulls; reply is
// called with the answer. An undecodable request gets no answer.
func (n *Node) servePull(m *distrib.PullRequest, reply func(distribution.PullAnswer)) {
	request, wait, err := distrib.DecodePullRequest(m)
	if n.stopped || err != nil {
		return
	}
	n.pullCount++
	id := strconv.Itoa(n.pullCount)
	n.pullReplies[id] = reply
	now := n.fleet.Clock.Now()
	t := n.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.IncomingPulls.Put(tx, id, distribution.IncomingPull{Request: request, Arrived: now, Deadline: now.Add(wait)})
	}, t.IncomingPulls.Write())
	n.step()
}

// pull sends a pull to another node. It calls done once, with the answer or an
// error.
func (n *Node) pull(request distribution.OutgoingPull, done func(tables.PullResult)) {
	f := n.fleet
	ended := false
	finish := func(r tables.PullResult) {
		if !ended {
			ended = true
			done(r)
		}
	}
	f.schedule(request.Wait+replyTimeout, func() { finish(tables.PullResult{Pull: request, Err: eventlog.ErrUnavailable}) })
	if f.isLost(n.Member.Host, request.To.Host) {
		return
	}
	message := distrib.EncodePullRequest(request.Request, request.Wait)
	size := proto.Size(message)
	f.schedule(f.oneWayDelay(), func() {
		other, running := f.Nodes[request.To.Host]
		if !running {
			finish(tables.PullResult{Pull: request, Err: eventlog.ErrUnavailable})
			return
		}
		other.servePull(message, func(answer distribution.PullAnswer) {
			if f.isLost(request.To.Host, n.Member.Host) {
				return
			}
			reply := proto.CloneOf(distrib.EncodePullAnswer(answer))
			f.corruptAnswer(reply)
			size += proto.Size(reply)
			f.Traffic.Pulls++
			f.Traffic.PullBytes += size
			f.Traffic.ServedPullBytes[request.To.Host] += size
			f.Traffic.ServedPulls[request.To.Host]++
			f.schedule(f.oneWayDelay(), func() {
				decoded, err := distrib.DecodePullAnswer(reply)
				finish(tables.PullResult{Pull: request, Answer: decoded, Err: err})
			})
		})
	})
}

// fetchVersionReport requests from another node the highest version that a host
// may have served. It calls done once.
func (n *Node) fetchVersionReport(request tables.VersionReportRequest, done func(distribution.VersionReportResult)) {
	f := n.fleet
	fail := func() { done(distribution.VersionReportResult{Failed: true, At: f.Clock.Now()}) }
	if f.isLost(n.Member.Host, request.To.Host) {
		f.schedule(replyTimeout, fail)
		return
	}
	f.schedule(f.oneWayDelay()+f.oneWayDelay(), func() {
		other, running := f.Nodes[request.To.Host]
		if !running {
			fail()
			return
		}
		server := front.Server{Tables: other.Tables, Clock: f.Clock}
		reply, err := server.Recall(context.Background(), &distrib.RecallRequest{Host: string(request.Host)})
		if err != nil {
			fail()
			return
		}
		report := distribution.VersionReport{Version: mesh.Version(reply.Version), FloorKnown: reply.Settled}
		done(distribution.VersionReportResult{Report: report, At: f.Clock.Now()})
	})
}
