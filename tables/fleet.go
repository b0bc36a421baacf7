package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Fleet groups the tables of membership and of the hosts that requests are sent
// to.
type Fleet struct {
	// Members holds every known node, this one included, in the form that other
	// packages use. Written by the controllers of membership, only when a
	// member's state, incarnation or address has changed.
	Members *blackboard.Table[mesh.HostID, mesh.Member]
	// Peers holds the membership state of every known node, this one included.
	// Peers and the tables down to AnnounceSchedule are written by the
	// controllers of membership only.
	Peers *blackboard.Table[mesh.HostID, membership.Peer]
	// Zones holds the state of the members' availability zones.
	Zones *blackboard.Table[mesh.Zone, membership.Zone]
	// Self is this node's own membership. It changes about once a second. Code
	// that acts on behalf of the node checks Self.Confirmed first.
	Self *blackboard.Cell[membership.Self]
	// Prober is the state of the failure detector.
	Prober *blackboard.Cell[membership.Prober]
	// Probes holds the outstanding probes, by sequence number.
	Probes *blackboard.Table[uint64, membership.Probe]
	// MemberBroadcasts holds the members whose record is still gossiped, with
	// the number of gossip rounds left.
	MemberBroadcasts *blackboard.Table[mesh.HostID, int]
	// ZoneBroadcasts holds the zones whose reachability is still gossiped, with
	// the number of gossip rounds left.
	ZoneBroadcasts *blackboard.Table[mesh.Zone, int]
	// JoinAddresses holds the probe addresses that the node can join through,
	// from the seeds and from the announcements in the log, with the offset of
	// the announcement; zero for a seed. The node joins through them, and later
	// looks for parts of the fleet behind those that belong to no known host.
	JoinAddresses *blackboard.Table[string, uint64]
	// AnnounceSchedule is when the node next reads the stream of announcements
	// and considers announcing itself.
	AnnounceSchedule *blackboard.Cell[membership.AnnounceSchedule]
	// Endpoints holds, for each service, the members that requests can be sent
	// to under the configuration in force. Written by the controller endpoints.
	Endpoints *blackboard.Table[mesh.ServiceName, []mesh.Member]
	// HostStats holds the load, latency and failures that this node has
	// observed at each host. Written by the controller calls.
	HostStats *blackboard.Table[mesh.HostID, choose.HostStats]
	// InFlight counts the requests that this node has in flight at each host.
	// Written by the controller calls.
	InFlight *blackboard.Table[mesh.HostID, choose.InFlight]
	// Services holds the retry budget, hedging state and shed ratio of each
	// service. Written by the controller calls.
	Services *blackboard.Table[mesh.ServiceName, call.ServiceState]
	// RouteStates holds how long the callers of each route usually wait, by the
	// ID of its rule. Written by the controller calls.
	RouteStates *blackboard.Table[string, call.RouteState]
}

func newFleet(b *blackboard.Board) Fleet {
	return Fleet{
		Members:          blackboard.NewTable[mesh.HostID, mesh.Member](b, "members", rankMembers),
		Peers:            blackboard.NewTable[mesh.HostID, membership.Peer](b, "peers", rankPeers),
		Zones:            blackboard.NewTable[mesh.Zone, membership.Zone](b, "zones", rankZones),
		Self:             blackboard.NewCell[membership.Self](b, "self", rankSelf),
		Prober:           blackboard.NewCell[membership.Prober](b, "prober", rankProber),
		Probes:           blackboard.NewTable[uint64, membership.Probe](b, "probes", rankProbes),
		MemberBroadcasts: blackboard.NewTable[mesh.HostID, int](b, "news", rankMemberBroadcasts),
		ZoneBroadcasts:   blackboard.NewTable[mesh.Zone, int](b, "zone_news", rankZoneBroadcasts),
		JoinAddresses:    blackboard.NewTable[string, uint64](b, "contacts", rankJoinAddresses),
		AnnounceSchedule: blackboard.NewCell[membership.AnnounceSchedule](b, "meeting", rankAnnounceSchedule),
		Endpoints:        blackboard.NewTable[mesh.ServiceName, []mesh.Member](b, "endpoints", rankEndpoints),
		HostStats:        blackboard.NewTable[mesh.HostID, choose.HostStats](b, "reports", rankHostStats),
		InFlight:         blackboard.NewTable[mesh.HostID, choose.InFlight](b, "in_flight", rankInFlight),
		RouteStates:      blackboard.NewTable[string, call.RouteState](b, "route_states", rankRouteStates),
		Services:         blackboard.NewTable[mesh.ServiceName, call.ServiceState](b, "services", rankServices),
	}
}
