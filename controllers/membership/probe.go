package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// helpers is the number of members that are asked to probe one that did
	// not answer.
	helpers = 3
	// randomProbeEvery is the number of periods between two probes of a member
	// drawn at random, beside the one of the successor in each period.
	randomProbeEvery = 3
)

// registerProber adds the failure detector: in each period it probes the next
// member of its zone in rank order, and now and then one drawn at random.
func (f fleet) registerProber(p *controller.Pool) {
	ticks := controller.Register(p, "probe", f.step(f.tick))
	timeouts := controller.Register(p, "probe timeout", func(now time.Time, sequence uint64) (result controller.Result) {
		f.do(func(tx *blackboard.Tx) { result = f.overdue(tx, now, sequence) })
		return result
	})
	f.Probes.Watch(timeouts.Add)
	// Nodes that start together spread their probes over a period.
	ticks.AddAt(theKey, p.Now().Add(f.jitter(f.Times.Period)))
}

// jitter draws a duration up to d. It is called under the write lock of Peers,
// or before the pool runs.
func (f fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.Random.Int64N(int64(d)))
}

// overdue looks at one probe under way.
func (f fleet) overdue(tx *blackboard.Tx, now time.Time, sequence uint64) controller.Result {
	f.noticeSleep(tx, now)
	probe, found := f.Probes.Get(tx, sequence)
	if !found {
		return controller.Result{}
	}
	next, action := f.Prober.Get(tx).Check(probe, now, f.Times)
	switch action {
	case membership.Fail, membership.Drop:
		f.Probes.Delete(tx, sequence)
	default:
		if next != probe {
			f.Probes.Put(tx, sequence, next)
		}
	}
	switch action {
	case membership.Help:
		f.askHelp(tx, probe, sequence)
	case membership.Fail:
		f.suspect(tx, now, probe)
	}
	return controller.Result{After: max(next.DueAt.Sub(now), time.Millisecond)}
}

// noticeSleep drops what was under way when the node itself was stopped, gives
// the suspected the time that the node missed, and lets its standing lapse.
func (f fleet) noticeSleep(tx *blackboard.Tx, now time.Time) {
	prober := f.Prober.Get(tx)
	if !prober.Slept(now, f.Times) {
		return
	}
	prober.TickedAt = now
	f.Prober.Set(tx, prober.Worse())
	f.Probes.Each(tx, func(sequence uint64, _ membership.Probe) bool {
		f.Probes.Delete(tx, sequence)
		return true
	})
	f.Peers.Each(tx, func(id mesh.HostID, peer membership.Peer) bool {
		if peer.Phase == membership.Suspected {
			peer.Since = now
			f.Peers.Put(tx, id, peer)
		}
		return true
	})
	if self := f.Tables.Self.Get(tx); self.Standing == membership.Confirmed {
		self.Standing = membership.Unconfirmed
		f.Tables.Self.Set(tx, self)
	}
}

// tick begins a period when it is time.
func (f fleet) tick(tx *blackboard.Tx, now time.Time) controller.Result {
	f.noticeSleep(tx, now)
	prober := f.Prober.Get(tx)
	if next := prober.TickedAt.Add(f.Times.Period); now.Before(next) {
		return controller.Result{After: next.Sub(now)}
	}
	prober.TickedAt = now
	prober.Ticks++
	ring := f.fellows(tx)
	successor, found := membership.Successor(ring, f.Config.Self.Host, f.up(tx))
	var drawn mesh.HostID
	also := false
	// A node whose successor is dead still has to hear from somebody.
	isLapsing := !f.Tables.Self.Get(tx).Confirmed(now.Add(f.Times.Period / 2))
	if prober.Ticks%randomProbeEvery == 0 || !found || isLapsing {
		prober, drawn, also = prober.Draw(ring, f.present(tx), f.Random)
	}
	f.Prober.Set(tx, prober)
	if found {
		f.ping(tx, now, successor, membership.Probe{})
	}
	if also && drawn != successor {
		f.ping(tx, now, drawn, membership.Probe{})
	}
	return controller.Result{After: f.Times.Period}
}

// ping sends a probe; a member that is suspected or gone is told so.
func (f fleet) ping(tx *blackboard.Tx, now time.Time, id mesh.HostID, probe membership.Probe) {
	peer, known := f.Peers.Get(tx, id)
	if !known {
		return
	}
	probe.Target = id
	probe.Incarnation = peer.Member.Incarnation
	probe.SentAt = now
	sequence := f.addProbe(tx, probe)
	ping := f.pingMessage(peer, sequence)
	ping.Digests = []membership.Digest{f.wholeDigest(tx)}
	f.sendTo(tx, id, ping)
}

// addProbe puts a probe under way and returns its number.
func (f fleet) addProbe(tx *blackboard.Tx, probe membership.Probe) uint64 {
	prober := f.Prober.Get(tx)
	prober.Sequence++
	f.Prober.Set(tx, prober)
	f.Probes.Put(tx, prober.Sequence, probe)
	return prober.Sequence
}

func (f fleet) pingMessage(peer membership.Peer, sequence uint64) membership.Message {
	m := membership.Message{Kind: membership.Ping, Target: peer.Member.Host, Sequence: sequence}
	if peer.Phase != membership.Up {
		m.News = []membership.Record{peer.Record}
	}
	return m
}

// askHelp asks others to probe a member that has not answered, and probes it
// once more itself.
func (f fleet) askHelp(tx *blackboard.Tx, probe membership.Probe, sequence uint64) {
	peer, known := f.Peers.Get(tx, probe.Target)
	if !known {
		return
	}
	f.sendTo(tx, probe.Target, f.pingMessage(peer, sequence))
	up := f.up(tx)
	others := func(id mesh.HostID) bool { return id != probe.Target && up(id) }
	request := membership.Message{Kind: membership.PingRequest, Target: probe.Target, Sequence: sequence}
	for _, id := range f.draw(f.fellows(tx), helpers, others) {
		f.sendTo(tx, id, request)
	}
}

// suspect spreads that a member did not answer, unless it has said something
// newer meanwhile, or this node does not hear from anybody itself.
func (f fleet) suspect(tx *blackboard.Tx, now time.Time, probe membership.Probe) {
	f.Prober.Set(tx, f.Prober.Get(tx).Failed(probe))
	peer, known := f.Peers.Get(tx, probe.Target)
	if !known || peer.Phase == membership.Gone || peer.Member.Incarnation != probe.Incarnation {
		return
	}
	if !f.Tables.Self.Get(tx).Confirmed(now) {
		return
	}
	f.Count(EventSuspected)
	f.learn(tx, now, membership.Record{
		Member: peer.Member, Phase: membership.Suspected, By: f.Config.Self.Host,
	}, true)
}
