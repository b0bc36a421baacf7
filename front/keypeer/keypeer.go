// Package keypeer is the front end for messages between nodes about idempotency
// keys, over Twirp. Service writes other nodes' requests into the table
// KeyOperations and waits for the controller's decision; Send sends this node's
// messages.
package keypeer

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controllers/keyhome"
	"github.com/marigoldshelf/marigoldshelf/encoding/keys"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Service implements keys.Keys.
type Service struct {
	Tables *tables.Tables
}

// Claim claims a key for an attempt at another node.
func (s Service) Claim(ctx context.Context, r *keys.ClaimRequest) (*keys.ClaimReply, error) {
	claim, ok := keys.DecodeClaim(r)
	if !ok {
		return nil, malformedError()
	}
	op, err := s.awaitDecision(ctx, tables.KeyOperation{Claim: claim})
	return keys.EncodeClaimReply(op.Reply), err
}

// End reports how an attempt at another node ended.
func (s Service) End(ctx context.Context, r *keys.EndRequest) (*keys.EndReply, error) {
	end, ok := keys.DecodeEnd(r)
	if !ok {
		return nil, malformedError()
	}
	op, err := s.awaitDecision(ctx, tables.KeyOperation{End: end})
	return &keys.EndReply{Taken: op.EndAccepted}, err
}

// Replicate stores entries of a shard that this node backs up.
func (s Service) Replicate(ctx context.Context, r *keys.ReplicateRequest) (*keys.ReplicateReply, error) {
	message, ok := keys.DecodeReplicate(r)
	if !ok {
		return nil, malformedError()
	}
	op, err := s.awaitDecision(ctx, tables.KeyOperation{Replicate: message})
	return &keys.ReplicateReply{Ack: int32(op.Ack)}, err
}

func malformedError() error { return twirp.NewError(twirp.Malformed, "keys: malformed message") }

// awaitDecision adds an operation to the table KeyOperations, waits until the
// controller keyhome has completed it, and deletes it.
func (s Service) awaitDecision(ctx context.Context, op tables.KeyOperation) (tables.KeyOperation, error) {
	t := s.Tables
	id := keyhome.OperationPrefix + uuid.NewString()
	t.Board.Do(func(tx *blackboard.Tx) { t.KeyOperations.Put(tx, id, op) }, t.KeyOperations.Write())
	defer t.Board.Do(func(tx *blackboard.Tx) { t.KeyOperations.Delete(tx, id) }, t.KeyOperations.Write())
	return t.KeyOperations.Await(ctx, id, func(op tables.KeyOperation, found bool) bool {
		return found && op.Done
	})
}

// Send sends one message of the outbox KeyMessages over c and returns the reply
// for the inbox KeyReplies.
func Send(ctx context.Context, c *http.Client, m tables.KeyMessage) tables.KeyReply {
	client := keys.NewKeysProtobufClient("http://"+m.Address, c)
	reply := tables.KeyReply{Message: m}
	switch {
	case m.Claim != nil:
		response, err := client.Claim(ctx, keys.EncodeClaim(m.Claim))
		reply.Reply, reply.Err = keys.DecodeClaimReply(response), err
	case m.End != nil:
		response, err := client.End(ctx, keys.EncodeEnd(m.End))
		reply.EndAccepted, reply.Err = response.GetTaken(), err
	default:
		response, err := client.Replicate(ctx, keys.EncodeReplicate(m.Replicate))
		reply.Ack, reply.Err = keys.DecodeAck(response), err
	}
	return reply
}
