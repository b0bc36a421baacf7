package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Fleet has the tables of membership and of where requests can go.
type Fleet struct {
	// Members has every node this one knows of, itself included, as the other
	// parts see it. Written by the controllers of membership, only when a
	// member's state, incarnation or address changed.
	Members *blackboard.Table[mesh.HostID, mesh.Member]
	// Peers has what membership holds of every node, itself included. It and
	// the tables below are written by the controllers of membership alone.
	Peers *blackboard.Table[mesh.HostID, membership.Peer]
	// Zones has the availability zones of the members.
	Zones *blackboard.Table[mesh.Zone, membership.Zone]
	// Self is this node's own membership. It changes about once a second; who
	// acts in the node's name asks Self.Confirmed first.
	Self *blackboard.Cell[membership.Self]
	// Prober is the state of the failure detector.
	Prober *blackboard.Cell[membership.Prober]
	// Probes has the probes under way, by sequence number.
	Probes *blackboard.Table[uint64, membership.Probe]
	// News has the members whose news is still passed on, with the number of
	// rounds left.
	News *blackboard.Table[mesh.HostID, int]
	// ZoneNews has the zones whose reach is still passed on, likewise.
	ZoneNews *blackboard.Table[mesh.Zone, int]
	// Contacts has the addresses of nodes named by the seeds and by the log,
	// with the offset of the record, zero for a seed. They are used until the
	// node has joined.
	Contacts *blackboard.Table[string, uint64]
	// Meeting is when the node turns to the stream of announcements next.
	Meeting *blackboard.Cell[membership.Meeting]
	// Endpoints has, for each service, the members that the configuration in
	// force lets take its requests. Written by the controller endpoints.
	Endpoints *blackboard.Table[mesh.ServiceName, []mesh.Member]
	// Reports has what the answers of each host told of its load and latency.
	// Written by the controller calls.
	Reports *blackboard.Table[mesh.HostID, choose.Report]
	// InFlight has what this node has under way at each host. Written by the
	// controller calls.
	InFlight *blackboard.Table[mesh.HostID, choose.InFlight]
	// Services has the retry budget and the hedging delay of each service.
	// Written by the controller calls.
	Services *blackboard.Table[mesh.ServiceName, call.Service]
}

func newFleet(b *blackboard.Board) Fleet {
	return Fleet{
		Members:   blackboard.NewTable[mesh.HostID, mesh.Member](b, "members", rankMembers),
		Peers:     blackboard.NewTable[mesh.HostID, membership.Peer](b, "peers", rankPeers),
		Zones:     blackboard.NewTable[mesh.Zone, membership.Zone](b, "zones", rankZones),
		Self:      blackboard.NewCell[membership.Self](b, "self", rankSelf),
		Prober:    blackboard.NewCell[membership.Prober](b, "prober", rankProber),
		Probes:    blackboard.NewTable[uint64, membership.Probe](b, "probes", rankProbes),
		News:      blackboard.NewTable[mesh.HostID, int](b, "news", rankNews),
		ZoneNews:  blackboard.NewTable[mesh.Zone, int](b, "zone_news", rankZoneNews),
		Contacts:  blackboard.NewTable[string, uint64](b, "contacts", rankContacts),
		Meeting:   blackboard.NewCell[membership.Meeting](b, "meeting", rankMeeting),
		Endpoints: blackboard.NewTable[mesh.ServiceName, []mesh.Member](b, "endpoints", rankEndpoints),
		Reports:   blackboard.NewTable[mesh.HostID, choose.Report](b, "reports", rankReports),
		InFlight:  blackboard.NewTable[mesh.HostID, choose.InFlight](b, "in_flight", rankInFlight),
		Services:  blackboard.NewTable[mesh.ServiceName, call.Service](b, "services", rankServices),
	}
}
