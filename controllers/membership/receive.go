package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// registerReceiver adds the controller that reads the inbox; its key is the
// number of the message.
func (f fleet) registerReceiver(p *controller.Pool) {
	handle := controller.Register(p, "receive", func(now time.Time, number uint64) controller.Result {
		f.do(func(tx *blackboard.Tx) {
			envelope, found := f.MessagesIn.Get(tx, number)
			if !found {
				return
			}
			f.MessagesIn.Delete(tx, number)
			f.receive(tx, now, envelope)
			f.hearVersion(tx, now, envelope.Message)
		}, f.MessagesIn.Write(), f.Announced.Write())
		return controller.Result{}
	})
	f.MessagesIn.Watch(handle.Add)
}

// hearVersion notes a configuration that the sender has and nobody spoke of
// before.
func (f fleet) hearVersion(tx *blackboard.Tx, now time.Time, m membership.Message) {
	if m.Version > f.Announced.Get(tx).Version {
		f.Announced.Set(tx, tables.Announcement{Version: m.Version, Host: m.From, HeardAt: now})
	}
}

func (f fleet) receive(tx *blackboard.Tx, now time.Time, e membership.Envelope) {
	m := e.Message
	f.noticeSleep(tx, now)
	if m.From == f.Config.Self.Host && m.Incarnation <= f.Tables.Self.Get(tx).Member.Incarnation {
		return
	}
	f.heardZone(tx, now, m.From)
	// A newcomer that fills its table has nothing to tell the others.
	passOn := m.Kind != membership.Page || f.Tables.Self.Get(tx).Complete
	for _, r := range m.News {
		f.learn(tx, now, r, passOn)
	}
	for _, r := range m.Reaches {
		f.learnReach(tx, r)
	}
	switch m.Kind {
	case membership.Ping:
		f.answer(tx, e)
		f.resync(tx, now, e)
	case membership.Ack:
		f.acknowledged(tx, now, m)
	case membership.PingRequest:
		f.ping(tx, now, m.Target, membership.Probe{For: m.From, ForSequence: m.Sequence})
	case membership.Sync, membership.SyncReply:
		f.compare(tx, e)
	case membership.Pull:
		f.sendPages(tx, e)
	case membership.Page:
		f.answerPage(tx, e)
	}
}

// answer acknowledges a ping that is meant for this node. It goes back to
// where the ping came from, with what is held of the pinger if that is not so.
func (f fleet) answer(tx *blackboard.Tx, e membership.Envelope) {
	m := e.Message
	if m.Target != f.Config.Self.Host {
		return
	}
	ack := membership.Message{Kind: membership.Ack, Target: m.Target, Sequence: m.Sequence}
	ack.Sees, ack.News = f.viewOf(tx, m)
	f.send(tx, e.Address, ack)
}

// viewOf returns the incarnation under which the sender of m is held to be up,
// or the newer or worse record that is held of it.
func (f fleet) viewOf(tx *blackboard.Tx, m membership.Message) (mesh.Incarnation, []membership.Record) {
	peer, known := f.Peers.Get(tx, m.From)
	switch {
	case !known || peer.Member.Incarnation < m.Incarnation:
		return 0, nil
	case peer.Member.Incarnation > m.Incarnation || peer.Phase != membership.Up:
		return 0, []membership.Record{peer.Record}
	default:
		return m.Incarnation, nil
	}
}

// acknowledged ends a probe. An answer to one's own probe confirms this node,
// if it was sent after the node last slept; the probes under way were dropped
// then.
func (f fleet) acknowledged(tx *blackboard.Tx, now time.Time, m membership.Message) {
	probe, found := f.Probes.Get(tx, m.Sequence)
	if !found || probe.Target != m.Target {
		return
	}
	f.Probes.Delete(tx, m.Sequence)
	f.Prober.Set(tx, f.Prober.Get(tx).Acked(now))
	if probe.For != "" {
		f.sendTo(tx, probe.For, membership.Message{Kind: membership.Ack, Target: m.Target, Sequence: probe.ForSequence})
		return
	}
	if m.From != m.Target {
		return // a helper's answer says nothing of this node
	}
	if m.Sees == 0 && len(m.News) == 0 {
		// The target does not know this node, or its last change.
		self := f.Tables.Self.Get(tx)
		f.sendTo(tx, m.From, membership.Message{Kind: membership.Gossip, News: []membership.Record{self.Record()}})
		return
	}
	before := f.Tables.Self.Get(tx)
	if self := before.Confirm(m.Sees, probe.SentAt, f.Times); self != before {
		f.Tables.Self.Set(tx, self)
	}
}
