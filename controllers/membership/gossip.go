package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// gossipFanout is the number of members of the local zone to which each round
	// is sent.
	gossipFanout = 3
	// maxRoundRecords bounds the member records sent in one round.
	maxRoundRecords = 60
)

// registerGossip adds the controller that gossips changed records. It does
// not run while MemberBroadcasts and ZoneBroadcasts are empty.
func (f fleetController) registerGossip(p *controller.Pool) {
	handle := controller.Register(p, "gossip", f.reconcileFunc(f.gossipRound))
	schedule := func() { handle.AddAt(singletonKey, p.Now().Add(gossipDelay)) }
	f.MemberBroadcasts.Watch(func(mesh.HostID) { schedule() })
	f.ZoneBroadcasts.Watch(func(mesh.Zone) { schedule() })
}

// gossipDelay is the delay between a change and its first round, so that changes
// that arrive together are sent together.
const gossipDelay = 20 * time.Millisecond

func (f fleetController) gossipRound(tx *blackboard.Tx, _ time.Time) controller.Result {
	records := f.nextRoundRecords(tx)
	reachability := f.nextRoundReachability(tx)
	if len(records) > 0 || len(reachability) > 0 {
		for _, id := range f.pickRandom(f.localZoneHosts(tx), gossipFanout, f.notGone(tx)) {
			f.sendRecords(tx, id, records, reachability)
		}
		f.relayRecords(tx, records)
	}
	if f.MemberBroadcasts.Len(tx)+f.ZoneBroadcasts.Len(tx) == 0 {
		return controller.Result{}
	}
	return controller.Result{RequeueAfter: f.Timing.GossipInterval}
}

// nextRoundRecords returns the records to send in this round and decrements
// their remaining rounds.
func (f fleetController) nextRoundRecords(tx *blackboard.Tx) []membership.Record {
	var records []membership.Record
	f.MemberBroadcasts.Each(tx, func(id mesh.HostID, rounds int) bool {
		if peer, known := f.Peers.Get(tx, id); known {
			records = append(records, peer.Record)
		}
		decrementRounds(tx, f.MemberBroadcasts, id, rounds)
		return len(records) < maxRoundRecords
	})
	return records
}

func (f fleetController) nextRoundReachability(tx *blackboard.Tx) []membership.Reachability {
	var reachability []membership.Reachability
	f.ZoneBroadcasts.Each(tx, func(name mesh.Zone, rounds int) bool {
		if zone, known := f.Zones.Get(tx, name); known {
			reachability = append(reachability, zone.Reachability)
		}
		decrementRounds(tx, f.ZoneBroadcasts, name, rounds)
		return true
	})
	return reachability
}

func decrementRounds[K ~string](tx *blackboard.Tx, t *blackboard.Table[K, int], key K, rounds int) {
	if rounds <= 1 {
		t.Delete(tx, key)
		return
	}
	t.Put(tx, key, rounds-1)
}

func (f fleetController) sendRecords(tx *blackboard.Tx, id mesh.HostID, records []membership.Record, reachability []membership.Reachability) {
	if len(reachability) > 0 {
		f.sendToHost(tx, id, membership.Message{Kind: membership.Gossip, Reachability: reachability})
	}
	for _, chunk := range membership.SplitRecords(records) {
		f.sendToHost(tx, id, membership.Message{Kind: membership.Gossip, Records: chunk})
	}
}
