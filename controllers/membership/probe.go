package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// indirectProbers is the number of members that receive a ping request for a
	// member that did not acknowledge a probe.
	indirectProbers = 3
	// randomProbePeriods is the number of periods between two probes of a random
	// member. The successor is probed in every period.
	randomProbePeriods = 3
)

// registerProber adds the controllers of the failure detector. In each period it
// probes the next member of the zone in rank order, and every
// randomProbePeriods a random one.
func (f fleetController) registerProber(p *controller.Pool) {
	periods := controller.Register(p, "probe", f.reconcileFunc(f.startPeriod))
	timeouts := controller.Register(p, "probe timeout", func(now time.Time, sequence uint64) (result controller.Result) {
		f.inTransaction(func(tx *blackboard.Tx) { result = f.checkProbe(tx, now, sequence) })
		return result
	})
	f.Probes.Watch(timeouts.Add)
	// The random delay spreads the probes of nodes that start together.
	periods.AddAt(singletonKey, p.Now().Add(f.jitter(f.Timing.ProbeInterval)))
}

// jitter returns a random duration below d. It must be called under the write
// lock of Peers, or before the pool runs.
func (f fleetController) jitter(d time.Duration) time.Duration {
	return time.Duration(f.Random.Int64N(int64(d)))
}

// checkProbe checks a probe that is not acknowledged yet and applies the action
// that is due: request indirect probes, suspect the target or drop the probe.
func (f fleetController) checkProbe(tx *blackboard.Tx, now time.Time, sequence uint64) controller.Result {
	f.detectStall(tx, now)
	probe, found := f.Probes.Get(tx, sequence)
	if !found {
		return controller.Result{}
	}
	next, action := f.Prober.Get(tx).CheckProbe(probe, now, f.Timing)
	switch action {
	case membership.Fail, membership.Drop:
		f.Probes.Delete(tx, sequence)
	default:
		if next != probe {
			f.Probes.Put(tx, sequence, next)
		}
	}
	switch action {
	case membership.RequestIndirect:
		f.requestIndirectProbes(tx, probe, sequence)
	case membership.Fail:
		f.suspect(tx, now, probe)
	}
	return controller.Result{RequeueAfter: max(next.DueAt.Sub(now), time.Millisecond)}
}

// detectStall checks whether this process was stalled. If so, it worsens the local
// health score, drops the probes in flight, restarts the suspicion timeouts, which
// ran while no Acks could be processed, and sets a confirmed node back to
// Unconfirmed.
func (f fleetController) detectStall(tx *blackboard.Tx, now time.Time) {
	prober := f.Prober.Get(tx)
	if !prober.Stalled(now, f.Timing) {
		return
	}
	prober.PeriodStartedAt = now
	f.Prober.Set(tx, prober.WorsenHealth())
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
	if self := f.Tables.Self.Get(tx); self.Status == membership.Confirmed {
		self.Status = membership.Unconfirmed
		f.Tables.Self.Set(tx, self)
	}
}

// startPeriod starts a probe period when the previous one is over.
func (f fleetController) startPeriod(tx *blackboard.Tx, now time.Time) controller.Result {
	f.detectStall(tx, now)
	prober := f.Prober.Get(tx)
	if next := prober.PeriodStartedAt.Add(f.Timing.ProbeInterval); now.Before(next) {
		return controller.Result{RequeueAfter: next.Sub(now)}
	}
	prober.PeriodStartedAt = now
	prober.PeriodCount++
	ring := f.localZoneHosts(tx)
	successor, found := membership.Successor(ring, f.Config.Self.Host, f.up(tx))
	var randomHost mesh.HostID
	hasRandomHost := false
	// A node whose successor is dead needs an Ack from another member to stay
	// confirmed.
	isExpiring := !f.Tables.Self.Get(tx).Confirmed(now.Add(f.Timing.ProbeInterval / 2))
	if prober.PeriodCount%randomProbePeriods == 0 || !found || isExpiring {
		prober, randomHost, hasRandomHost = prober.NextRandom(ring, f.notGone(tx), f.Random)
	}
	f.Prober.Set(tx, prober)
	if found {
		f.ping(tx, now, successor, membership.Probe{})
	}
	if hasRandomHost && randomHost != successor {
		f.ping(tx, now, randomHost, membership.Probe{})
	}
	return controller.Result{RequeueAfter: f.Timing.ProbeInterval}
}

// ping sends a probe to a member and adds it to the probes in flight. The caller
// sets probe.Requester and probe.RequesterSequence if another node requested the
// probe, and leaves the other fields zero.
func (f fleetController) ping(tx *blackboard.Tx, now time.Time, id mesh.HostID, probe membership.Probe) {
	peer, known := f.Peers.Get(tx, id)
	if !known {
		return
	}
	probe.Target = id
	probe.Incarnation = peer.Member.Incarnation
	probe.SentAt = now
	sequence := f.addProbe(tx, probe)
	ping := f.newPing(peer, sequence)
	ping.Digests = []membership.Digest{f.tableDigest(tx)}
	f.sendToHost(tx, id, ping)
}

// addProbe adds a probe to Probes and returns its sequence number.
func (f fleetController) addProbe(tx *blackboard.Tx, probe membership.Probe) uint64 {
	prober := f.Prober.Get(tx)
	prober.Sequence++
	f.Prober.Set(tx, prober)
	f.Probes.Put(tx, prober.Sequence, probe)
	return prober.Sequence
}

// newPing returns a ping message. A member that is suspected or gone receives its
// record, so that it can refute it.
func (f fleetController) newPing(peer membership.Peer, sequence uint64) membership.Message {
	m := membership.Message{Kind: membership.Ping, Target: peer.Member.Host, Sequence: sequence}
	if peer.Phase != membership.Up {
		m.Records = []membership.Record{peer.Record}
	}
	return m
}

// requestIndirectProbes sends ping requests for the target of a probe that is not
// acknowledged to other members, and pings the target directly once more.
func (f fleetController) requestIndirectProbes(tx *blackboard.Tx, probe membership.Probe, sequence uint64) {
	peer, known := f.Peers.Get(tx, probe.Target)
	if !known {
		return
	}
	f.sendToHost(tx, probe.Target, f.newPing(peer, sequence))
	up := f.up(tx)
	others := func(id mesh.HostID) bool { return id != probe.Target && up(id) }
	request := membership.Message{Kind: membership.PingRequest, Target: probe.Target, Sequence: sequence}
	for _, id := range f.pickRandom(f.localZoneHosts(tx), indirectProbers, others) {
		f.sendToHost(tx, id, request)
	}
}

// suspect marks the target of a failed probe as suspected and gossips that. It
// does nothing if the target is gone or has changed its incarnation since the
// probe, or if this node is not confirmed and may itself be the isolated one.
func (f fleetController) suspect(tx *blackboard.Tx, now time.Time, probe membership.Probe) {
	f.Prober.Set(tx, f.Prober.Get(tx).ProbeFailed(probe))
	peer, known := f.Peers.Get(tx, probe.Target)
	if !known || peer.Phase == membership.Gone || peer.Member.Incarnation != probe.Incarnation {
		return
	}
	if !f.Tables.Self.Get(tx).Confirmed(now) {
		return
	}
	f.Count(EventSuspected)
	f.applyRecord(tx, now, membership.Record{
		Member: peer.Member, Phase: membership.Suspected, Reporter: f.Config.Self.Host,
	}, true)
}
