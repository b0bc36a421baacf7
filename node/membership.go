package node

import (
	"context"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/controllers/endpoints"
	"github.com/marigoldshelf/marigoldshelf/controllers/membership"
	timing "github.com/marigoldshelf/marigoldshelf/decide/membership"
	codec "github.com/marigoldshelf/marigoldshelf/encoding/probe"
	"github.com/marigoldshelf/marigoldshelf/front/probe"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// The events counted by membership. The reason of the counter has the details.
const (
	membershipEvent = "membership"
	datagramEvent   = "datagram"
)

// registerMembership adds the controllers of membership and of the endpoints
// that requests are sent to.
func (n *Node) registerMembership() {
	endpoints.Register(n.pool, n.tables)
	membership.Register(n.pool, n.tables, membership.Config{
		Self:   n.self,
		Timing: timing.DefaultConfig(),
		Seeds:  n.options.Settings.Peers.Seeds,
		Random: rand.New(rand.NewPCG(uint64(n.self.Incarnation), n.options.Seed)),
		Count: func(e membership.Event) {
			n.options.Metrics.Count(membershipEvent, verdict.Reason(e))
		},
		OnEraChange: n.storeEraChanged,
		OnMalformed: func(offset uint64, cause error) {
			n.record.malformed("announcement", "log", eris.Wrapf(cause, "offset %d", offset))
		},
	})
}

// probeFront returns the front end that sends and receives membership datagrams.
func (n *Node) probeFront() probe.Transport {
	return probe.Transport{
		Tables: n.tables,
		Socket: n.listeners.probes,
		Codec:  codec.NewCodec(n.options.Settings.Peers.Secret),
		// Zero on a node without an adapter: its change log distributes versions
		// by other means.
		ConfigVersion: func() mesh.Version { return n.tables.Document.Load().Version },
		Count: func(e probe.Event, bytes int) {
			n.options.Metrics.Count(datagramEvent, verdict.Reason(e))
			n.options.Metrics.Add("datagram_bytes_"+string(e), int64(bytes))
		},
	}
}

// receiveProbes receives datagrams until ctx ends.
func (n *Node) receiveProbes(ctx context.Context, front probe.Transport) {
	if err := front.Receive(ctx); err != nil && n.options.Logger != nil {
		n.options.Logger.Part("membership").Error("stopped receiving datagrams", err)
	}
}
