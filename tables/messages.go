package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
)

// Messages groups the outbox and the inbox of the datagrams between nodes.
type Messages struct {
	// MessageCount is the number of the last row added to MessagesOut.
	MessageCount *blackboard.Cell[uint64]
	// MessagesOut is the outbox, by sequence number. Added by the controllers of
	// membership, deleted by the I/O worker that sends them.
	MessagesOut *blackboard.Table[uint64, membership.Envelope]
	// MessagesIn is the inbox, by sequence number. Added by the receiver of
	// datagrams, deleted by the controller receive.
	MessagesIn *blackboard.Table[uint64, membership.Envelope]
}

func newMessages(b *blackboard.Board) Messages {
	return Messages{
		MessageCount: blackboard.NewCell[uint64](b, "message_count", rankMessageCount),
		MessagesOut:  blackboard.NewTable[uint64, membership.Envelope](b, "messages_out", rankMessagesOut),
		MessagesIn:   blackboard.NewTable[uint64, membership.Envelope](b, "messages_in", rankMessagesIn),
	}
}
