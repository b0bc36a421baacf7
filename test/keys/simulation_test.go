// Package keys_test runs the idempotency key controllers of several nodes on one
// goroutine and a virtual clock. A simulated network loses, delays, duplicates
// and reorders messages, and a simulated log loses and repeats appends. The tests
// check that no booking runs twice under one key within the window.
package keys_test

import (
	"slices"
	"strconv"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/keyclaim"
	"github.com/marigoldshelf/marigoldshelf/controllers/keyhome"
	"github.com/marigoldshelf/marigoldshelf/controllers/keymap"
	"github.com/marigoldshelf/marigoldshelf/controllers/keyplan"
	"github.com/marigoldshelf/marigoldshelf/controllers/keysync"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// maxSettleCalls is the maximum number of controller calls of one node without
// the clock advancing. Reaching it counts as a violation.
const maxSettleCalls = 5000

// testConfig returns a configuration with times short enough for a test.
func testConfig() idempotency.Config {
	return idempotency.Config{
		Shards: 1, Window: 20 * time.Second, Lease: 8 * time.Second, GrantTTL: 2 * time.Second,
		MaxClockDrift: time.Second, MaxKeys: 50, MaxResponseBytes: 100, MaxShardResponseBytes: 1000,
		ReportTimeout: 5 * time.Second, KeepInterval: 10 * time.Second, ClaimTimeout: time.Second,
		HeartbeatInterval: time.Second, PeerTimeout: 2 * time.Second, FreshAfter: 3 * time.Second,
	}
}

// testNode is one incarnation of a node.
type testNode struct {
	member         mesh.Member
	tables         *tables.Tables
	pool           *controller.Pool
	paused         bool                         // runs no controllers, sends and receives nothing, while the clock advances
	logUnreachable bool                         // reads and appends fail
	crashed        bool                         // replies to this incarnation are discarded
	partition      int                          // 0 or 1; the platform's log is in partition 0
	sent           map[string]tables.KeyMessage // rows of the outbox that are in the network, by key
	pendingBatch   *tables.LogBatch             // the result of a log read, not yet delivered
	inbound        map[string]*message          // requests in progress, by key of their operation
	openClaims     []string                     // attempts of the claims that the test has not ended
}

// message is a request in the network, or the reply to one.
type message struct {
	from      *testNode
	id        string
	send      tables.KeyMessage
	reply     *tables.KeyReply // nil for a request
	duplicate bool             // a duplicate of a request, whose reply is discarded
}

// bookingRun is an execution of a booking at the backend server.
type bookingRun struct {
	attempt string
	at      time.Time
}

// simulation holds the nodes, the messages in the network, the log, and the
// executions that the checks compare the outcomes of claims with.
type simulation struct {
	clock        *clock.Virtual
	config       idempotency.Config
	boardOptions []blackboard.Option
	nodes        []*testNode
	log          []eventlog.Record
	oldestOffset uint64
	pastAppends  []string // data of all appends; the fuzz test appends some again
	messages     []*message
	shouldDrop   func(*message) bool // messages that runHealthy drops; nil for none
	runs         map[idempotency.KeyID][]bookingRun
	sequence     int            // last number used for incarnations, operations and attempts
	violations   []string       // failed checks
	counts       map[string]int // events of the run, by name
}

// newSimulation starts a number of nodes. With blackboard.PanicOnNested their
// boards check the lock order, which takes most of the run time; without it, a
// nested transaction deadlocks.
func newSimulation(hosts int, c idempotency.Config, options ...blackboard.Option) *simulation {
	sim := &simulation{
		clock: clock.NewVirtual(time.Unix(1_800_000_000, 0)), config: c, oldestOffset: 1, boardOptions: options,
		runs: make(map[idempotency.KeyID][]bookingRun), counts: make(map[string]int),
	}
	for i := range hosts {
		sim.nodes = append(sim.nodes, sim.startNode(i))
	}
	sim.updateMembership()
	return sim
}

// startNode returns a new incarnation of the node of host i, with empty tables.
func (sim *simulation) startNode(i int) *testNode {
	sim.sequence++
	host := mesh.HostID("h" + strconv.Itoa(i))
	n := &testNode{
		member: mesh.Member{
			Host: host, Zone: mesh.Zone("z" + strconv.Itoa(i%2)), State: mesh.Alive,
			Incarnation: mesh.Incarnation(sim.sequence), PeerAddress: string(host),
		},
		tables: tables.New(blackboard.New(sim.boardOptions...)),
		pool:   controller.NewPool(sim.clock, 1),
		sent:   make(map[string]tables.KeyMessage), inbound: make(map[string]*message),
	}
	self := idempotency.HolderOf(n.member)
	logread.Register(n.pool, n.tables, eventlog.KeysStream, keymap.Consumer{Tables: n.tables, Clock: sim.clock, Config: sim.config, Self: self})
	keyplan.Register(n.pool, n.tables, keyplan.Config{
		KeyConfig: sim.config, Self: self, StartedAt: sim.clock.Now(),
		Count: func(k idempotency.ChangeKind) { sim.counts["planned_"+string(k)]++ },
	})
	keysync.Register(n.pool, n.tables, sim.config)
	keyhome.Register(n.pool, n.tables, sim.config)
	keyclaim.Register(n.pool, n.tables, sim.config)
	sim.setMember(n, n.member)
	return n
}

// crash replaces a node by a new incarnation; replies to the old one are lost.
func (sim *simulation) crash(i int) {
	sim.nodes[i].crashed = true
	sim.nodes[i] = sim.startNode(i)
}

// setMember writes m into the member table of n.
func (sim *simulation) setMember(n *testNode, m mesh.Member) {
	n.tables.Board.Do(func(tx *blackboard.Tx) { n.tables.Members.Put(tx, m.Host, m) }, n.tables.Members.Write())
}

// updateMembership writes the state of every node into every member table. Paused
// nodes and nodes in the other partition are dead.
func (sim *simulation) updateMembership() {
	for _, n := range sim.nodes {
		for _, other := range sim.nodes {
			m := other.member
			if n.partition != other.partition || other.paused {
				m.State = mesh.Dead
			}
			sim.setMember(n, m)
		}
	}
}

// partition separates the given nodes from the others and from the platform's
// log. Without arguments it heals the partition.
func (sim *simulation) partition(isolated ...int) {
	for i, n := range sim.nodes {
		n.partition = 0
		if slices.Contains(isolated, i) {
			n.partition = 1
		}
		n.logUnreachable = n.partition != 0
	}
}

// holderIndex returns the index of the primary or backup of shard 0, as known to
// the first node that is not paused and reaches the log; -1 if there is none.
func (sim *simulation) holderIndex(role idempotency.Role) int {
	for _, n := range sim.nodes {
		if n.logUnreachable || n.paused {
			continue
		}
		a := n.tables.KeyMap.Load().Map.Assignments[0]
		holder := a.Primary
		if role == idempotency.Backup {
			holder = a.Backup
		}
		return slices.IndexFunc(sim.nodes, func(n *testNode) bool { return n.member.Host == holder.Host })
	}
	return -1
}

// settle runs the controllers of every node that is not paused until they have
// nothing to do, and collects their output.
func (sim *simulation) settle() {
	for _, n := range sim.nodes {
		if n.paused {
			continue
		}
		if n.pool.StepUntilIdle(maxSettleCalls) >= maxSettleCalls {
			sim.violations = append(sim.violations, "node "+string(n.member.Host)+" does not settle")
		}
		sim.collectOutput(n)
	}
}

// collectOutput moves the requests of n, and its replies to completed operations,
// to the network.
func (sim *simulation) collectOutput(n *testNode) {
	t := n.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.KeyMessages.Each(tx, func(id string, s tables.KeyMessage) bool {
			if n.sent[id] != s {
				n.sent[id] = s
				sim.messages = append(sim.messages, &message{from: n, id: id, send: s})
			}
			return true
		})
		t.KeyOperations.Each(tx, func(id string, op tables.KeyOperation) bool {
			if op.Done {
				t.KeyOperations.Delete(tx, id)
				sim.queueReply(n.inbound[id], op)
				delete(n.inbound, id)
			}
			return true
		})
	}, t.KeyOperations.Write(), t.KeyMessages.Read())
}

// queueReply puts the reply to m into the network, unless m is a duplicate.
func (sim *simulation) queueReply(m *message, op tables.KeyOperation) {
	if !m.duplicate {
		m.reply = &tables.KeyReply{Message: m.send, Reply: op.Reply, EndAccepted: op.EndAccepted, Ack: op.Ack}
		sim.messages = append(sim.messages, m)
	}
}

// deliver removes message i from the network and delivers it. It does nothing
// while the receiver is paused.
func (sim *simulation) deliver(i int) {
	m := sim.messages[i]
	if m.reply == nil {
		to := sim.nodeAt(m.send.Address)
		if to.paused {
			return
		}
		sim.messages = append(sim.messages[:i:i], sim.messages[i+1:]...)
		sim.deliverRequest(to, m)
		return
	}
	if m.from.paused {
		return
	}
	sim.messages = append(sim.messages[:i:i], sim.messages[i+1:]...)
	sim.completeSend(m)
}

// deliverOrDrop delivers message i, or drops it if sender and receiver are in
// different partitions or shouldDrop matches it.
func (sim *simulation) deliverOrDrop(i int) {
	m := sim.messages[i]
	blocked := sim.shouldDrop != nil && sim.shouldDrop(m)
	if to := sim.nodeAt(m.send.Address); blocked || to.partition != m.from.partition {
		sim.drop(i)
		return
	}
	sim.deliver(i)
}

// deliverRequest puts a request into the operations table of a node.
func (sim *simulation) deliverRequest(to *testNode, m *message) {
	sim.sequence++
	id := keyhome.OperationPrefix + strconv.Itoa(sim.sequence)
	to.inbound[id] = m
	op := tables.KeyOperation{Claim: m.send.Claim, End: m.send.End, Replicate: m.send.Replicate}
	to.tables.Board.Do(func(tx *blackboard.Tx) { to.tables.KeyOperations.Put(tx, id, op) }, to.tables.KeyOperations.Write())
}

// completeSend writes a reply or an error into the inbox of the sender and deletes
// the outbox row, as an I/O worker does.
func (sim *simulation) completeSend(m *message) {
	n := m.from
	if n.crashed {
		return
	}
	delete(n.sent, m.id)
	t := n.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if current, _ := t.KeyMessages.Get(tx, m.id); current == m.send {
			t.KeyMessages.Delete(tx, m.id)
		}
		t.KeyReplies.Put(tx, m.id, *m.reply)
	}, t.KeyMessages.Write(), t.KeyReplies.Write())
}

// drop removes message i from the network; its sender gets an error.
func (sim *simulation) drop(i int) {
	m := sim.messages[i]
	sim.messages = append(sim.messages[:i:i], sim.messages[i+1:]...)
	sim.completeSend(&message{from: m.from, id: m.id, send: m.send, reply: &tables.KeyReply{Message: m.send, Err: eventlog.ErrUnavailable}})
}

// deliverDuplicate delivers a copy of request i, which stays in the network.
func (sim *simulation) deliverDuplicate(i int) {
	m := sim.messages[i]
	to := sim.nodeAt(m.send.Address)
	if m.reply == nil && !to.paused {
		sim.deliverRequest(to, &message{send: m.send, duplicate: true})
	}
}

func (sim *simulation) nodeAt(address string) *testNode {
	for _, n := range sim.nodes {
		if n.member.PeerAddress == address {
			return n
		}
	}
	return nil
}

// serveRead performs the pending read of n, with at most two records. deliverRead
// delivers the result.
func (sim *simulation) serveRead(n *testNode) {
	n.tables.Board.Do(func(tx *blackboard.Tx) {
		read, pending := n.tables.LogReads.Get(tx, eventlog.KeysStream)
		if !pending || n.pendingBatch != nil {
			return
		}
		batch := tables.LogBatch{From: read.From, RequestedAt: read.RequestedAt}
		switch {
		case n.logUnreachable:
			batch.Err = eventlog.ErrUnavailable
		case read.From < sim.oldestOffset:
			batch.Err = &eventlog.ExpiredError{Oldest: sim.oldestOffset}
		default:
			for _, r := range sim.log {
				if r.Offset >= read.From && len(batch.Records) < 2 {
					batch.Records = append(batch.Records, r)
				}
			}
		}
		n.pendingBatch = &batch
	}, n.tables.LogReads.Read())
}

func (sim *simulation) deliverRead(n *testNode) {
	if n.pendingBatch == nil || n.paused {
		return
	}
	n.tables.Board.Do(func(tx *blackboard.Tx) {
		n.tables.LogReads.Delete(tx, eventlog.KeysStream)
		n.tables.LogBatches.Put(tx, eventlog.KeysStream, *n.pendingBatch)
	}, n.tables.LogReads.Write(), n.tables.LogBatches.Write())
	n.pendingBatch = nil
}

// performAppends performs the appends of n. If acknowledged is false they take effect
// but n gets an error. The data is kept, so that a test can append it again.
func (sim *simulation) performAppends(n *testNode, acknowledged bool) {
	n.tables.Board.Do(func(tx *blackboard.Tx) {
		n.tables.Appends.Each(tx, func(id string, a tables.Append) bool {
			done := tables.AppendResult{}
			if !acknowledged || n.logUnreachable {
				done.Err = eventlog.ErrUnavailable
			}
			if !n.logUnreachable {
				sim.writeLog(a.Data)
				sim.pastAppends = append(sim.pastAppends, a.Data)
			}
			n.tables.Appends.Delete(tx, id)
			n.tables.AppendResults.Put(tx, id, done)
			return true
		})
	}, n.tables.Appends.Write(), n.tables.AppendResults.Write())
}

func (sim *simulation) writeLog(data string) {
	offset := sim.oldestOffset + uint64(len(sim.log))
	sim.log = append(sim.log, eventlog.Record{Offset: offset, Time: sim.clock.Now(), Data: []byte(data)})
}

// trimLog expires all records of the log except the last keep ones.
func (sim *simulation) trimLog(keep int) {
	drop := max(len(sim.log)-keep, 0)
	sim.log = sim.log[drop:]
	sim.oldestOffset += uint64(drop)
}

// runHealthy advances the clock by d with a working network and log, except for
// messages that shouldDrop matches. At each step it calls visit for every node.
func (sim *simulation) runHealthy(d time.Duration, visit func(*testNode)) {
	const step = 500 * time.Millisecond
	for end := sim.clock.Now().Add(d); sim.clock.Now().Before(end); sim.clock.Advance(step) {
		sim.updateMembership()
		for range 4 {
			sim.settle()
			for _, n := range sim.nodes {
				sim.performAppends(n, true)
				sim.serveRead(n)
				sim.deliverRead(n)
			}
			for range len(sim.messages) {
				sim.deliverOrDrop(0)
			}
		}
		for _, n := range sim.nodes {
			visit(n)
		}
	}
}

// startClaim submits a caller's request with a key to n and returns the ID of the
// attempt.
func (sim *simulation) startClaim(n *testNode, key, content string) string {
	sim.sequence++
	attempt := "a" + strconv.Itoa(sim.sequence)
	c := idempotency.Claim{
		Attempt: attempt, Key: idempotency.NewKeyID("desk.example", key), Started: sim.clock.Now(),
		Digest: idempotency.NewDigest("POST", "desk.example", "/book", []byte(content)), RunTimeout: 3 * time.Second,
	}
	n.tables.Board.Do(func(tx *blackboard.Tx) { n.tables.Claims.Put(tx, attempt, c) }, n.tables.Claims.Write())
	n.openClaims = append(n.openClaims, attempt)
	return attempt
}

// lookUpClaim returns a row of the claims table of n.
func (sim *simulation) lookUpClaim(n *testNode, attempt string) (c idempotency.Claim, found bool) {
	n.tables.Board.Do(func(tx *blackboard.Tx) { c, found = n.tables.Claims.Get(tx, attempt) }, n.tables.Claims.Read())
	return c, found
}

// endAttempt writes the verdict on an attempt into the claims table, as the front
// end does.
func (sim *simulation) endAttempt(n *testNode, attempt string, v verdict.Verdict) {
	var response *idempotency.StoredResponse
	if v == verdict.Ran {
		response = &idempotency.StoredResponse{Status: 200, Body: []byte(attempt)}
	}
	n.tables.Board.Do(func(tx *blackboard.Tx) {
		if c, found := n.tables.Claims.Get(tx, attempt); found {
			n.tables.Claims.Put(tx, attempt, c.WithEnd(sim.clock.Now(), v, response))
		}
	}, n.tables.Claims.Write())
}
