package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// gossipFanout is the number of members of the zone that a round reaches.
	gossipFanout = 3
	// roundRecords bounds the records of one round.
	roundRecords = 60
)

// registerGossip adds the controller that passes news on. It rests while there
// is none.
func (f fleet) registerGossip(p *controller.Pool) {
	handle := controller.Register(p, "gossip", f.step(f.gossip))
	soon := func() { handle.AddAt(theKey, p.Now().Add(gossipDelay)) }
	f.News.Watch(func(mesh.HostID) { soon() })
	f.ZoneNews.Watch(func(mesh.Zone) { soon() })
}

// gossipDelay is the wait from news to its first round, so that what arrives
// together travels together.
const gossipDelay = 20 * time.Millisecond

func (f fleet) gossip(tx *blackboard.Tx, _ time.Time) controller.Result {
	records := f.takeNews(tx)
	reaches := f.takeZoneNews(tx)
	if len(records) > 0 || len(reaches) > 0 {
		for _, id := range f.draw(f.fellows(tx), gossipFanout, f.present(tx)) {
			f.sendNews(tx, id, records, reaches)
		}
		f.relayNews(tx, records)
	}
	if f.News.Len(tx)+f.ZoneNews.Len(tx) == 0 {
		return controller.Result{}
	}
	return controller.Result{After: f.Times.GossipInterval}
}

// takeNews returns the records of this round and counts it.
func (f fleet) takeNews(tx *blackboard.Tx) []membership.Record {
	var records []membership.Record
	f.News.Each(tx, func(id mesh.HostID, rounds int) bool {
		if peer, known := f.Peers.Get(tx, id); known {
			records = append(records, peer.Record)
		}
		countDown(tx, f.News, id, rounds)
		return len(records) < roundRecords
	})
	return records
}

func (f fleet) takeZoneNews(tx *blackboard.Tx) []membership.Reach {
	var reaches []membership.Reach
	f.ZoneNews.Each(tx, func(name mesh.Zone, rounds int) bool {
		if zone, known := f.Zones.Get(tx, name); known {
			reaches = append(reaches, zone.Reach)
		}
		countDown(tx, f.ZoneNews, name, rounds)
		return true
	})
	return reaches
}

func countDown[K ~string](tx *blackboard.Tx, t *blackboard.Table[K, int], key K, rounds int) {
	if rounds <= 1 {
		t.Delete(tx, key)
		return
	}
	t.Put(tx, key, rounds-1)
}

func (f fleet) sendNews(tx *blackboard.Tx, id mesh.HostID, records []membership.Record, reaches []membership.Reach) {
	if len(reaches) > 0 {
		f.sendTo(tx, id, membership.Message{Kind: membership.Gossip, Reaches: reaches})
	}
	for _, chunk := range membership.Chunks(records) {
		f.sendTo(tx, id, membership.Message{Kind: membership.Gossip, News: chunk})
	}
}
