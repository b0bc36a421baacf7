package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Fleet has the tables of membership and of where requests can go.
type Fleet struct {
	// Members has every node this one knows of, itself included. Written by
	// the controllers of membership.
	Members *blackboard.Table[mesh.HostID, mesh.Member]
	// Endpoints has, for each service, the members that the configuration in
	// force lets take its requests. Written by the controller endpoints.
	Endpoints *blackboard.Table[mesh.ServiceName, []mesh.Member]
	// Loads has the load last reported by each host. Written by the callers'
	// front end from the answers of peers.
	Loads *blackboard.Table[mesh.HostID, mesh.Load]
	// InFlight has the number of requests that this node has under way at each
	// host. Written by the controller calls.
	InFlight *blackboard.Table[mesh.HostID, int]
}

func newFleet(b *blackboard.Board) Fleet {
	return Fleet{
		Members:   blackboard.NewTable[mesh.HostID, mesh.Member](b, "members", rankMembers),
		Endpoints: blackboard.NewTable[mesh.ServiceName, []mesh.Member](b, "endpoints", rankEndpoints),
		Loads:     blackboard.NewTable[mesh.HostID, mesh.Load](b, "loads", rankLoads),
		InFlight:  blackboard.NewTable[mesh.HostID, int](b, "in_flight", rankInFlight),
	}
}
