// Package keys_test steps the controllers of idempotency keys of several nodes
// by hand, over a wire and a log that lose, delay, repeat and cross what they
// carry, and holds them against a simple oracle.
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

// settleLimit bounds the controller calls of one node at one instant.
const settleLimit = 5000

// quick is a configuration whose times fit a session.
func quick() idempotency.Config {
	return idempotency.Config{
		Shards: 1, Window: 20 * time.Second, Lease: 8 * time.Second, GrantLife: 2 * time.Second,
		Drift: time.Second, MaxKeys: 50, MaxAnswerBytes: 100, MaxShardAnswerBytes: 1000,
		ReportFor: 5 * time.Second, KeepInterval: 10 * time.Second, Patience: time.Second,
		HeartbeatInterval: time.Second, FailAfter: 2 * time.Second, FreshAfter: 3 * time.Second,
	}
}

// fakeNode is one life of a node.
type fakeNode struct {
	member mesh.Member
	t      *tables.Tables
	pool   *controller.Pool
	frozen bool // paused: it does nothing, and its clock goes on
	cut    bool // the platform's log cannot be reached
	dead   bool
	side   int // of a partition; the platform is on side 0
	sent   map[string]tables.KeySend
	held   *tables.LogBatch // an answer of the log on its way
	asked  map[string]*message
	claims []string
}

// message is a request on the wire, or the reply to one.
type message struct {
	from    *fakeNode
	id      string
	send    tables.KeySend
	reply   *tables.KeyReply // nil while the request is on its way
	ignored bool             // a repeated request: nobody waits for the reply
}

// run is one run of a booking.
type run struct {
	attempt string
	at      time.Time
}

// world is some nodes, a wire, a log and the backend servers' own count.
type world struct {
	clock  *clock.Virtual
	config idempotency.Config
	board  []blackboard.Option
	nodes  []*fakeNode
	log    []eventlog.Record
	oldest uint64
	late   []string // records whose append may take effect again
	wire   []*message
	blocks func(*message) bool // what goWell loses; nil for nothing
	runs   map[idempotency.ID][]run
	number int
	faults []string
	counts map[string]int
}

// newWorld starts hosts. check makes their boards check the lock order, which
// takes most of the time; without it a nested transaction hangs instead.
func newWorld(hosts int, c idempotency.Config, check ...blackboard.Option) *world {
	w := &world{
		clock: clock.NewVirtual(time.Unix(1_800_000_000, 0)), config: c, oldest: 1, board: check,
		runs: make(map[idempotency.ID][]run), counts: make(map[string]int),
	}
	for i := range hosts {
		w.nodes = append(w.nodes, w.start(i))
	}
	w.learnAll()
	return w
}

// start returns a new life of a host, without memory.
func (w *world) start(i int) *fakeNode {
	w.number++
	host := mesh.HostID("h" + strconv.Itoa(i))
	n := &fakeNode{
		member: mesh.Member{
			Host: host, Zone: mesh.Zone("z" + strconv.Itoa(i%2)), State: mesh.Alive,
			Incarnation: mesh.Incarnation(w.number), PeerAddress: string(host),
		},
		t:    tables.New(blackboard.New(w.board...)),
		pool: controller.New(w.clock, 1),
		sent: make(map[string]tables.KeySend), asked: make(map[string]*message),
	}
	self := idempotency.HolderOf(n.member)
	logread.Register(n.pool, n.t, eventlog.Keys, keymap.Consumer{Tables: n.t, Clock: w.clock, Config: w.config, Self: self})
	keyplan.Register(n.pool, n.t, keyplan.Config{
		Keys: w.config, Self: self, StartedAt: w.clock.Now(),
		Count: func(k idempotency.Kind) { w.counts["planned_"+string(k)]++ },
	})
	keysync.Register(n.pool, n.t, w.config)
	keyhome.Register(n.pool, n.t, w.config)
	keyclaim.Register(n.pool, n.t, w.config)
	w.learn(n, n.member)
	return n
}

func (w *world) crash(i int) {
	w.nodes[i].dead = true
	w.nodes[i] = w.start(i)
}

// learn makes n believe what m says.
func (w *world) learn(n *fakeNode, m mesh.Member) {
	n.t.Board.Do(func(tx *blackboard.Tx) { n.t.Members.Put(tx, m.Host, m) }, n.t.Members.Write())
}

// learnAll makes every node believe what it can see: those on the other side
// of a partition are dead.
func (w *world) learnAll() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			m := other.member
			if n.side != other.side || other.frozen {
				m.State = mesh.Dead
			}
			w.learn(n, m)
		}
	}
}

// part puts the nodes named on the side away from the platform.
func (w *world) part(away ...int) {
	for i, n := range w.nodes {
		n.side = 0
		if slices.Contains(away, i) {
			n.side = 1
		}
		n.cut = n.side != 0
	}
}

// holder returns the index of the primary or backup, as the first node that is
// not cut off sees it, or -1.
func (w *world) holder(role idempotency.Role) int {
	for _, n := range w.nodes {
		if n.cut || n.frozen {
			continue
		}
		a := n.t.KeyMap.Load().Map.Assignments[0]
		holder := a.Primary
		if role == idempotency.Backup {
			holder = a.Backup
		}
		return slices.IndexFunc(w.nodes, func(n *fakeNode) bool { return n.member.Host == holder.Host })
	}
	return -1
}

// settle lets every node that is not frozen do what it can, and takes what it
// wants sent.
func (w *world) settle() {
	for _, n := range w.nodes {
		if n.frozen {
			continue
		}
		if n.pool.Settle(settleLimit) >= settleLimit {
			w.faults = append(w.faults, "node "+string(n.member.Host)+" never settles")
		}
		w.collect(n)
	}
}

// collect puts what n wants sent, and its decisions on what it was asked, on
// the wire.
func (w *world) collect(n *fakeNode) {
	t := n.t
	t.Board.Do(func(tx *blackboard.Tx) {
		t.KeySends.Each(tx, func(id string, s tables.KeySend) bool {
			if n.sent[id] != s {
				n.sent[id] = s
				w.wire = append(w.wire, &message{from: n, id: id, send: s})
			}
			return true
		})
		t.KeyOperations.Each(tx, func(id string, op tables.KeyOperation) bool {
			if op.Done {
				t.KeyOperations.Delete(tx, id)
				w.answer(n.asked[id], op)
				delete(n.asked, id)
			}
			return true
		})
	}, t.KeyOperations.Write(), t.KeySends.Read())
}

func (w *world) answer(m *message, op tables.KeyOperation) {
	if !m.ignored {
		m.reply = &tables.KeyReply{Sent: m.send, Reply: op.Reply, Taken: op.Taken, Ack: op.Ack}
		w.wire = append(w.wire, m)
	}
}

// deliver takes message i off the wire and hands it to its receiver.
func (w *world) deliver(i int) {
	m := w.wire[i]
	if m.reply == nil {
		to := w.nodeAt(m.send.Address)
		if to.frozen {
			return
		}
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
		w.ask(to, m)
		return
	}
	if m.from.frozen {
		return
	}
	w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
	w.finish(m)
}

// deliverOrLose delivers a message unless a partition is in its way.
func (w *world) deliverOrLose(i int) {
	m := w.wire[i]
	blocked := w.blocks != nil && w.blocks(m)
	if to := w.nodeAt(m.send.Address); blocked || to.side != m.from.side {
		w.lose(i)
		return
	}
	w.deliver(i)
}

func (w *world) ask(to *fakeNode, m *message) {
	w.number++
	id := keyhome.Prefix + strconv.Itoa(w.number)
	to.asked[id] = m
	op := tables.KeyOperation{Claim: m.send.Claim, End: m.send.End, Replicate: m.send.Replicate}
	to.t.Board.Do(func(tx *blackboard.Tx) { to.t.KeyOperations.Put(tx, id, op) }, to.t.KeyOperations.Write())
}

// finish brings a reply, or a failure, back as an I/O worker does.
func (w *world) finish(m *message) {
	n := m.from
	if n.dead {
		return
	}
	delete(n.sent, m.id)
	t := n.t
	t.Board.Do(func(tx *blackboard.Tx) {
		if current, _ := t.KeySends.Get(tx, m.id); current == m.send {
			t.KeySends.Delete(tx, m.id)
		}
		t.KeyReplies.Put(tx, m.id, *m.reply)
	}, t.KeySends.Write(), t.KeyReplies.Write())
}

// lose drops a message; its sender times out.
func (w *world) lose(i int) {
	m := w.wire[i]
	w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
	w.finish(&message{from: m.from, id: m.id, send: m.send, reply: &tables.KeyReply{Sent: m.send, Err: eventlog.ErrUnavailable}})
}

// repeat delivers a request that stays on the wire.
func (w *world) repeat(i int) {
	m := w.wire[i]
	to := w.nodeAt(m.send.Address)
	if m.reply == nil && !to.frozen {
		w.ask(to, &message{send: m.send, ignored: true})
	}
}

func (w *world) nodeAt(address string) *fakeNode {
	for _, n := range w.nodes {
		if n.member.PeerAddress == address {
			return n
		}
	}
	return nil
}

// serveRead lets the log answer the read of n now; the answer is on its way
// until deliverRead.
func (w *world) serveRead(n *fakeNode) {
	n.t.Board.Do(func(tx *blackboard.Tx) {
		read, wanted := n.t.LogReads.Get(tx, eventlog.Keys)
		if !wanted || n.held != nil {
			return
		}
		batch := tables.LogBatch{From: read.From, At: read.At}
		switch {
		case n.cut:
			batch.Err = eventlog.ErrUnavailable
		case read.From < w.oldest:
			batch.Err = &eventlog.ExpiredError{Oldest: w.oldest}
		default:
			for _, r := range w.log {
				if r.Offset >= read.From && len(batch.Records) < 2 {
					batch.Records = append(batch.Records, r)
				}
			}
		}
		n.held = &batch
	}, n.t.LogReads.Read())
}

func (w *world) deliverRead(n *fakeNode) {
	if n.held == nil || n.frozen {
		return
	}
	n.t.Board.Do(func(tx *blackboard.Tx) {
		n.t.LogReads.Delete(tx, eventlog.Keys)
		n.t.LogBatches.Put(tx, eventlog.Keys, *n.held)
	}, n.t.LogReads.Write(), n.t.LogBatches.Write())
	n.held = nil
}

// appendTo lets the append that n wants reach the log. Its answer may be lost,
// and it may take effect again later.
func (w *world) appendTo(n *fakeNode, answered bool) {
	n.t.Board.Do(func(tx *blackboard.Tx) {
		n.t.Appends.Each(tx, func(id string, a tables.Append) bool {
			done := tables.AppendDone{}
			if !answered || n.cut {
				done.Err = eventlog.ErrUnavailable
			}
			if !n.cut {
				w.write(a.Data)
				w.late = append(w.late, a.Data)
			}
			n.t.Appends.Delete(tx, id)
			n.t.AppendsDone.Put(tx, id, done)
			return true
		})
	}, n.t.Appends.Write(), n.t.AppendsDone.Write())
}

func (w *world) write(data string) {
	offset := w.oldest + uint64(len(w.log))
	w.log = append(w.log, eventlog.Record{Offset: offset, Time: w.clock.Now(), Data: []byte(data)})
}

// retain drops the records of the log but the last few.
func (w *world) retain(keep int) {
	drop := max(len(w.log)-keep, 0)
	w.log = w.log[drop:]
	w.oldest += uint64(drop)
}

// goWell lets time pass while the wire and the log work. attend is called at
// each step for every node.
func (w *world) goWell(d time.Duration, attend func(*fakeNode)) {
	const step = 500 * time.Millisecond
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); w.clock.Advance(step) {
		w.learnAll()
		for range 4 {
			w.settle()
			for _, n := range w.nodes {
				w.appendTo(n, true)
				w.serveRead(n)
				w.deliverRead(n)
			}
			for range len(w.wire) {
				w.deliverOrLose(0)
			}
		}
		for _, n := range w.nodes {
			attend(n)
		}
	}
}

// claim brings a caller's request with a key to n.
func (w *world) claim(n *fakeNode, key, content string) string {
	w.number++
	attempt := "a" + strconv.Itoa(w.number)
	c := idempotency.Claim{
		Attempt: attempt, Key: idempotency.NewID("desk.example", key), Started: w.clock.Now(),
		Digest: idempotency.NewDigest("POST", "desk.example", "/book", []byte(content)), Run: 3 * time.Second,
	}
	n.t.Board.Do(func(tx *blackboard.Tx) { n.t.Claims.Put(tx, attempt, c) }, n.t.Claims.Write())
	n.claims = append(n.claims, attempt)
	return attempt
}

// look returns the state of a claim.
func (w *world) look(n *fakeNode, attempt string) (c idempotency.Claim, found bool) {
	n.t.Board.Do(func(tx *blackboard.Tx) { c, found = n.t.Claims.Get(tx, attempt) }, n.t.Claims.Read())
	return c, found
}

// end tells the table how an attempt ended, as the front end does.
func (w *world) end(n *fakeNode, attempt string, v verdict.Verdict) {
	var answer *idempotency.Answer
	if v == verdict.Ran {
		answer = &idempotency.Answer{Status: 200, Body: []byte(attempt)}
	}
	n.t.Board.Do(func(tx *blackboard.Tx) {
		if c, found := n.t.Claims.Get(tx, attempt); found {
			n.t.Claims.Put(tx, attempt, c.End(w.clock.Now(), v, answer))
		}
	}, n.t.Claims.Write())
}
