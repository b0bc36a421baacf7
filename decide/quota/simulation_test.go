package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// simulation runs the decisions of a fleet in virtual time. Datagrams are delayed
// and can be lost or duplicated; nodes can be killed, paused, cut off and started
// again. Each node learns of the others' state after a delay, as by gossip.
type simulation struct {
	// configuredZones is the number of zones in the settings of all nodes; zero if
	// they name none.
	configuredZones int
	now             time.Time
	random          *rand.Rand
	queue           eventQueue
	order           int
	nodes           []*simNode
	accounts        map[mesh.AccountName]mesh.Account
	// loss and duplication are the fractions of datagrams concerned.
	loss, duplication float64
	// cut reports whether two nodes cannot reach each other; nil if all can.
	cut func(a, b *simNode) bool

	sent, refused, unavailable map[mesh.AccountName]int
	// used has the times at which the requests that ran were sent.
	used      map[mesh.AccountName][]time.Time
	datagrams int
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simNode struct {
	member      mesh.Member
	process     int // rises with each start; 0 while it is down
	starts      int
	pausedUntil time.Time
	self        membership.Self
	view        map[mesh.HostID]mesh.Member
	duty        quota.Duty
	leases      map[mesh.AccountName]quota.Lease
	requests    map[mesh.AccountName]quota.Request
	buckets     map[mesh.AccountName]quota.Bucket
	sentAt      map[string]time.Time
	sequence    uint64
}

var epoch = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, zones, nodesPerZone int) *simulation {
	s := &simulation{
		now: epoch, random: rand.New(rand.NewPCG(seed, 7)), accounts: map[mesh.AccountName]mesh.Account{},
		sent: map[mesh.AccountName]int{}, refused: map[mesh.AccountName]int{}, unavailable: map[mesh.AccountName]int{},
		used: map[mesh.AccountName][]time.Time{},
	}
	for i := range zones * nodesPerZone {
		host := fmt.Sprintf("h%d", i)
		s.nodes = append(s.nodes, &simNode{member: mesh.Member{
			Host: mesh.HostID(host), Zone: mesh.Zone(fmt.Sprint("z", i%zones)), State: mesh.Alive, ProbeAddress: host,
		}})
	}
	return s
}

func (s *simulation) at(t time.Time, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{t, s.order, run})
}

func (s *simulation) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// onNode runs an event of the running process of a node; a paused one runs it when
// its pause ends.
func (s *simulation) onNode(n *simNode, d time.Duration, run func()) {
	process := n.process
	var event func()
	event = func() {
		switch {
		case n.process != process:
		case s.now.Before(n.pausedUntil):
			s.at(n.pausedUntil, event)
		default:
			run()
		}
	}
	s.after(d, event)
}

func (s *simulation) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) start(n *simNode) {
	n.starts++
	n.process = n.starts
	n.leases, n.requests, n.buckets = map[mesh.AccountName]quota.Lease{}, map[mesh.AccountName]quota.Request{}, map[mesh.AccountName]quota.Bucket{}
	n.sentAt, n.duty = map[string]time.Time{}, quota.Duty{ConfiguredZones: s.configuredZones}
	n.self = membership.Self{Member: n.member}
	n.view = map[mesh.HostID]mesh.Member{n.member.Host: n.member}
	s.onNode(n, s.between(300*time.Millisecond, 1500*time.Millisecond), func() { s.join(n) })
}

// join completes the membership of a node: it has found the others, part of them
// up to half a second later.
func (s *simulation) join(n *simNode) {
	n.self.Joined, n.self.TableSynced, n.self.Status = true, true, membership.Confirmed
	s.confirm(n)
	for _, other := range s.nodes {
		if other == n {
			continue
		}
		s.onNode(n, s.between(0, 500*time.Millisecond), func() { s.see(n, other) })
		if other.process > 0 {
			s.onNode(other, s.between(0, 500*time.Millisecond), func() { s.see(other, n) })
		}
	}
	s.probe(n)
}

// see updates a node's view of another: a node that does not answer is declared
// dead after some seconds, one in a zone that does not answer is unreachable.
func (s *simulation) see(n, other *simNode) {
	m := other.member
	if s.reachable(n, other) && other.self.Joined && other.process > 0 {
		m.State = mesh.Alive
	} else if _, known := n.view[m.Host]; !known && other.process == 0 {
		return
	} else {
		m.State = mesh.Dead
	}
	n.view[m.Host] = m
	s.updateDuty(n)
}

func (s *simulation) reachable(a, b *simNode) bool {
	return a == b || s.cut == nil || !s.cut(a, b)
}

// probe confirms a node once a second while another node of its zone can reach it,
// and updates its view: changes for the better within a second, others after the
// time that the failure detector needs.
func (s *simulation) probe(n *simNode) {
	for _, other := range s.nodes {
		if other != n && other.process > 0 && other.member.Zone == n.member.Zone && s.reachable(n, other) && !s.now.Before(other.pausedUntil) {
			s.confirm(n)
			break
		}
	}
	for _, other := range s.nodes {
		up := other.process > 0 && other.self.Joined && s.reachable(n, other) && !s.now.Before(other.pausedUntil)
		state := n.view[other.member.Host].State
		if up && state != mesh.Alive {
			s.onNode(n, s.between(0, 900*time.Millisecond), func() { s.see(n, other) })
		}
		if !up && state == mesh.Alive {
			s.onNode(n, s.between(2300*time.Millisecond, 4500*time.Millisecond), func() {
				if other.process == 0 || !s.reachable(n, other) || s.now.Before(other.pausedUntil) {
					m := other.member
					m.State = mesh.Dead
					n.view[m.Host] = m
					s.updateDuty(n)
				}
			})
		}
	}
	s.updateDuty(n)
	s.onNode(n, time.Second, func() { s.probe(n) })
}

func (s *simulation) confirm(n *simNode) {
	n.self.ConfirmedUntil = s.now.Add(2 * time.Second)
	s.updateDuty(n)
}

func (s *simulation) updateDuty(n *simNode) {
	var members []mesh.Member
	for _, other := range s.nodes {
		if m, known := n.view[other.member.Host]; known {
			members = append(members, m)
		}
	}
	n.duty = n.duty.Update(s.now, n.self, members, 0)
}

// request sends one request of an account to a node.
func (s *simulation) request(n *simNode, name mesh.AccountName) {
	if n.process == 0 {
		return
	}
	s.sent[name]++
	sent := s.now
	id := fmt.Sprint(s.sent[name], name)
	s.onNode(n, 0, func() {
		n.sentAt[id] = sent
		lease, decision := n.leases[name].Take(s.now, s.accounts[name], n.duty)
		n.leases[name] = lease
		if decision.Outcome != quota.Waiting {
			s.decided(n, name, quota.Decided{ID: id, Decision: decision})
			return
		}
		n.requests[name], _ = n.requests[name].Add(id)
		s.step(n, name)
	})
}

func (s *simulation) decided(n *simNode, name mesh.AccountName, d quota.Decided) {
	switch d.Outcome {
	case quota.Granted:
		s.used[name] = append(s.used[name], n.sentAt[d.ID])
	case quota.OverQuota:
		s.refused[name]++
	case quota.Unavailable:
		s.unavailable[name]++
	}
	delete(n.sentAt, d.ID)
}

func (s *simulation) step(n *simNode, name mesh.AccountName) {
	for {
		request, lease, decided, ask := n.requests[name].Next(s.now, n.leases[name], s.accounts[name], n.duty, s.random)
		n.leases[name] = lease
		for _, d := range decided {
			s.decided(n, name, d)
		}
		if ask > 0 {
			n.sequence++
			request.Sequence = n.sequence
		}
		n.requests[name] = request
		if ask == 0 {
			return
		}
		m := quota.Message{Kind: quota.Ask, From: n.member.Host, Sequence: n.sequence, Account: name, Count: ask, Loan: !request.Asked.Home}
		if request.Asked.Host != n.member.Host {
			s.send(n, request.Asked.Host, m)
			s.onNode(n, quota.AnswerTimeout, func() { s.step(n, name) })
			return
		}
		n.requests[name], n.leases[name] = request.Answer(s.now, lease, s.grant(n, m))
	}
}

func (s *simulation) grant(n *simNode, m quota.Message) quota.Message {
	answer, bucket, granting := n.duty.Grant(s.now, n.self, s.accounts[m.Account], n.buckets[m.Account], m)
	if granting {
		n.buckets[m.Account] = bucket
	}
	return answer
}

func (s *simulation) send(from *simNode, to mesh.HostID, m quota.Message) {
	s.datagrams++
	target := s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.member.Host == to })]
	copies := 1
	if s.random.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.loss || !s.reachable(from, target) || target.process == 0 {
			continue
		}
		s.onNode(target, s.between(200*time.Microsecond, 3*time.Millisecond), func() { s.receive(target, from, m) })
	}
}

func (s *simulation) receive(n, from *simNode, m quota.Message) {
	if m.Kind == quota.Ask {
		s.send(n, from.member.Host, s.grant(n, m))
		return
	}
	n.requests[m.Account], n.leases[m.Account] = n.requests[m.Account].Answer(s.now, n.leases[m.Account], m)
	s.step(n, m.Account)
}

// load sends requests of an account at a mean rate to random nodes, with a share
// of each zone, from now on while active returns a positive factor.
func (s *simulation) load(name mesh.AccountName, rate float64, shares []float64, factor func(time.Time) float64) {
	var next func()
	next = func() {
		f := factor(s.now)
		if f < 0 {
			return
		}
		if f > 0 {
			s.request(s.pick(shares), name)
		}
		s.after(time.Duration(s.random.ExpFloat64()/(rate*max(f, 0.1))*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *simulation) pick(shares []float64) *simNode {
	zones := len(shares)
	draw, zone := s.random.Float64(), 0
	for draw -= shares[0]; draw > 0 && zone < zones-1; draw -= shares[zone] {
		zone++
	}
	return s.nodes[zone+zones*s.random.IntN(len(s.nodes)/zones)]
}

// worstExcess returns the largest excess over the bound in a window of 5 s, and
// when that window starts.
func (s *simulation) worstExcess(a mesh.Account) (excess float64, at time.Duration) {
	bound := (a.RatePerSecond*5+a.Burst)*1.1 + 20
	used := slices.SortedFunc(slices.Values(s.used[a.Name]), time.Time.Compare)
	excess = -bound
	first := 0
	for i, t := range used {
		for t.Sub(used[first]) > 5*time.Second {
			first++
		}
		if e := float64(i-first+1) - bound; e > excess {
			excess, at = e, used[first].Sub(epoch)
		}
	}
	return excess, at
}
