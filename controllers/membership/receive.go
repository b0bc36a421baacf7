package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// registerReceiver adds the controller that processes the inbox MessagesIn. Its
// key is the number of the message.
func (f fleetController) registerReceiver(p *controller.Pool) {
	handle := controller.Register(p, "receive", func(now time.Time, number uint64) controller.Result {
		f.inTransaction(func(tx *blackboard.Tx) {
			envelope, found := f.MessagesIn.Get(tx, number)
			if !found {
				return
			}
			f.MessagesIn.Delete(tx, number)
			f.handleMessage(tx, now, envelope)
			f.recordVersion(tx, now, envelope.Message)
		}, f.MessagesIn.Write(), f.Announced.Write())
		return controller.Result{}
	})
	f.MessagesIn.Watch(handle.Add)
}

// recordVersion updates Announced if the sender has a newer configuration version
// than any node announced before.
func (f fleetController) recordVersion(tx *blackboard.Tx, now time.Time, m membership.Message) {
	if m.ConfigVersion > f.Announced.Get(tx).Version {
		f.Announced.Set(tx, tables.Announcement{Version: m.ConfigVersion, Host: m.From, ReceivedAt: now})
	}
}

func (f fleetController) handleMessage(tx *blackboard.Tx, now time.Time, e membership.Envelope) {
	m := e.Message
	f.detectStall(tx, now)
	if m.From == f.Config.Self.Host && m.Incarnation <= f.Tables.Self.Get(tx).Member.Incarnation {
		return
	}
	f.recordZoneContact(tx, now, m.From)
	// While a new node fills its table from pages, it does not gossip their
	// records: the other nodes already have them.
	passOn := m.Kind != membership.Page || f.Tables.Self.Get(tx).TableSynced
	for _, r := range m.Records {
		f.applyRecord(tx, now, r, passOn)
	}
	for _, r := range m.Reachability {
		f.applyReachability(tx, r)
	}
	switch m.Kind {
	case membership.Ping:
		f.acknowledgePing(tx, e)
		f.handlePingDigests(tx, now, e)
	case membership.Ack:
		f.handleAck(tx, now, m)
	case membership.PingRequest:
		f.ping(tx, now, m.Target, membership.Probe{Requester: m.From, RequesterSequence: m.Sequence})
	case membership.Sync, membership.SyncReply:
		f.handleSync(tx, e)
	case membership.Pull:
		f.sendPages(tx, e)
	case membership.Page:
		f.replyToPage(tx, e)
	}
}

// acknowledgePing acknowledges a ping whose target is this node. The Ack is sent to
// the address that the ping came from and carries this node's view of the sender;
// see viewOf.
func (f fleetController) acknowledgePing(tx *blackboard.Tx, e membership.Envelope) {
	m := e.Message
	if m.Target != f.Config.Self.Host {
		return
	}
	ack := membership.Message{Kind: membership.Ack, Target: m.Target, Sequence: m.Sequence}
	ack.ReceiverIncarnation, ack.Records = f.viewOf(tx, m)
	f.sendToAddress(tx, e.Address, ack)
}

// viewOf returns this node's view of the sender of m: the sender's incarnation if
// it is up under it, else the record that supersedes it. Both results are empty
// if the sender is unknown or known only under an older incarnation.
func (f fleetController) viewOf(tx *blackboard.Tx, m membership.Message) (mesh.Incarnation, []membership.Record) {
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

// handleAck ends a probe. An Ack from the target itself to this node's own probe
// confirms this node. An Ack to a probe that was sent before a stall of this
// process does not, because detectStall dropped that probe.
func (f fleetController) handleAck(tx *blackboard.Tx, now time.Time, m membership.Message) {
	probe, found := f.Probes.Get(tx, m.Sequence)
	if !found || probe.Target != m.Target {
		return
	}
	f.Probes.Delete(tx, m.Sequence)
	f.Prober.Set(tx, f.Prober.Get(tx).ProbeAcked(now))
	if probe.Requester != "" {
		f.sendToHost(tx, probe.Requester, membership.Message{Kind: membership.Ack, Target: m.Target, Sequence: probe.RequesterSequence})
		return
	}
	if m.From != m.Target {
		return // an indirect Ack does not carry the target's view of this node
	}
	if m.ReceiverIncarnation == 0 && len(m.Records) == 0 {
		// The target has no record of this node's current incarnation.
		self := f.Tables.Self.Get(tx)
		f.sendToHost(tx, m.From, membership.Message{Kind: membership.Gossip, Records: []membership.Record{self.Record()}})
		return
	}
	before := f.Tables.Self.Get(tx)
	if self := before.Confirm(m.ReceiverIncarnation, probe.SentAt, f.Timing); self != before {
		f.Tables.Self.Set(tx, self)
	}
}
