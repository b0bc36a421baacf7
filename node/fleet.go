package node

import (
	"context"
	"math/rand/v2"

	"github.com/marigoldshelf/marigoldshelf/controllers/endpoints"
	"github.com/marigoldshelf/marigoldshelf/controllers/membership"
	timing "github.com/marigoldshelf/marigoldshelf/decide/membership"
	codec "github.com/marigoldshelf/marigoldshelf/encoding/probe"
	"github.com/marigoldshelf/marigoldshelf/front/probe"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// countMembership and countDatagram are the events counted here; the reason
	// says more.
	countMembership = "membership"
	countDatagram   = "datagram"
)

// registerFleet adds the controllers of membership and of where requests go.
func (n *Node) registerFleet() {
	endpoints.Register(n.pool, n.tables)
	membership.Register(n.pool, n.tables, membership.Config{
		Self:   n.self,
		Times:  timing.DefaultConfig(),
		Seeds:  n.options.Settings.Peers.Seeds,
		Random: rand.New(rand.NewPCG(uint64(n.self.Incarnation), n.options.Seed)),
		Count: func(e membership.Event) {
			n.options.Metrics.Count(countMembership, verdict.Reason(e))
		},
	})
}

// probeFront returns the datagram side of the node.
func (n *Node) probeFront() probe.Front {
	return probe.Front{
		Tables: n.tables,
		Socket: n.listeners.probes,
		Codec:  codec.NewCodec(n.options.Settings.Peers.Secret),
		// Without approved documents it stays zero: versions of the change log
		// have ways of their own.
		Version: func() mesh.Version { return n.tables.Document.Load().Version },
		Count: func(e probe.Event, bytes int) {
			n.options.Metrics.Count(countDatagram, verdict.Reason(e))
			n.options.Metrics.Add("datagram_bytes_"+string(e), int64(bytes))
		},
	}
}

// receiveProbes takes datagrams in until ctx ends.
func (n *Node) receiveProbes(ctx context.Context, front probe.Front) {
	if err := front.Receive(ctx); err != nil && n.options.Logger != nil {
		n.options.Logger.Part("membership").Error("no longer receives datagrams", err)
	}
}
