package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
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
		Endpoints: blackboard.NewTable[mesh.ServiceName, []mesh.Member](b, "endpoints", rankEndpoints),
		Reports:   blackboard.NewTable[mesh.HostID, choose.Report](b, "reports", rankReports),
		InFlight:  blackboard.NewTable[mesh.HostID, choose.InFlight](b, "in_flight", rankInFlight),
		Services:  blackboard.NewTable[mesh.ServiceName, call.Service](b, "services", rankServices),
	}
}
