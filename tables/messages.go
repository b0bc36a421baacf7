package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
)

// Messages has the outbox and the inbox of the datagrams between nodes.
type Messages struct {
	// MessageCount numbers the rows of MessagesOut.
	MessageCount *blackboard.Cell[uint64]
	// MessagesOut has the messages to send, by number. Put by the controllers
	// of membership, deleted by the I/O worker that takes them.
	MessagesOut *blackboard.Table[uint64, membership.Envelope]
	// MessagesIn has the messages received, by number. Put by the receiver of
	// datagrams, deleted by the controller that reads them.
	MessagesIn *blackboard.Table[uint64, membership.Envelope]
}

func newMessages(b *blackboard.Board) Messages {
	return Messages{
		MessageCount: blackboard.NewCell[uint64](b, "message_count", rankMessageCount),
		MessagesOut:  blackboard.NewTable[uint64, membership.Envelope](b, "messages_out", rankMessagesOut),
		MessagesIn:   blackboard.NewTable[uint64, membership.Envelope](b, "messages_in", rankMessagesIn),
	}
}
