package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/clientload"
)

// Clients groups the tables of what clients hold of the node's memory.
type Clients struct {
	// ClientHoldings holds what each client connection holds, by connection ID.
	// front/clientload adds, updates and deletes rows; it and the controller
	// clients mark connections to be closed.
	ClientHoldings *blackboard.Table[uint64, clientload.Holding]
	// ClientCloses holds the connections to be closed. Added by front/clientload
	// and the controller clients, deleted by the I/O workers of front/clientload.
	ClientCloses *blackboard.Table[uint64, struct{}]
	// ClientLoad is the sum of ClientHoldings of each group of listeners. Written by
	// front/clientload and the controller clients.
	ClientLoad *blackboard.Cell[clientload.Loads]
	// ClientRelief is the progress of closing connections after a refusal. Written by
	// front/clientload and the controller clients.
	ClientRelief *blackboard.Cell[clientload.Relief]
}

func newClients(b *blackboard.Board) Clients {
	return Clients{
		ClientHoldings: blackboard.NewTable[uint64, clientload.Holding](b, "client_holdings", rankClientHoldings),
		ClientCloses:   blackboard.NewTable[uint64, struct{}](b, "client_closes", rankClientCloses),
		ClientRelief:   blackboard.NewCell[clientload.Relief](b, "client_relief", rankClientRelief),
		ClientLoad:     blackboard.NewCell[clientload.Loads](b, "client_load", rankClientLoad),
	}
}
