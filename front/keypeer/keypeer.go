// Package keypeer is the nodes' control service for idempotency keys, over
// Twirp: it puts what other nodes ask into a table and waits for the
// controller's decision, and it sends what this node asks.
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

// Claim asks this node for a key.
func (s Service) Claim(ctx context.Context, r *keys.ClaimRequest) (*keys.ClaimReply, error) {
	claim, ok := keys.ToClaim(r)
	if !ok {
		return nil, malformed()
	}
	op, err := s.decide(ctx, tables.KeyOperation{Claim: claim})
	return keys.FromReply(op.Reply), err
}

// End tells this node how an attempt ended.
func (s Service) End(ctx context.Context, r *keys.EndRequest) (*keys.EndReply, error) {
	end, ok := keys.ToEnd(r)
	if !ok {
		return nil, malformed()
	}
	op, err := s.decide(ctx, tables.KeyOperation{End: end})
	return &keys.EndReply{Taken: op.Taken}, err
}

// Replicate brings entries of a shard that this node backs up.
func (s Service) Replicate(ctx context.Context, r *keys.ReplicateRequest) (*keys.ReplicateReply, error) {
	message, ok := keys.ToReplicate(r)
	if !ok {
		return nil, malformed()
	}
	op, err := s.decide(ctx, tables.KeyOperation{Replicate: message})
	return &keys.ReplicateReply{Ack: int32(op.Ack)}, err
}

func malformed() error { return twirp.NewError(twirp.Malformed, "keys: malformed message") }

// decide waits for the controller's decision.
func (s Service) decide(ctx context.Context, op tables.KeyOperation) (tables.KeyOperation, error) {
	t := s.Tables
	id := keyhome.Prefix + uuid.NewString()
	t.Board.Do(func(tx *blackboard.Tx) { t.KeyOperations.Put(tx, id, op) }, t.KeyOperations.Write())
	defer t.Board.Do(func(tx *blackboard.Tx) { t.KeyOperations.Delete(tx, id) }, t.KeyOperations.Write())
	return t.KeyOperations.Await(ctx, id, func(op tables.KeyOperation, found bool) bool {
		return found && op.Done
	})
}

// Send performs one message of the outbox over c.
func Send(ctx context.Context, c *http.Client, m tables.KeySend) tables.KeyReply {
	client := keys.NewKeysProtobufClient("http://"+m.Address, c)
	reply := tables.KeyReply{Sent: m}
	switch {
	case m.Claim != nil:
		answer, err := client.Claim(ctx, keys.FromClaim(m.Claim))
		reply.Reply, reply.Err = keys.ToReply(answer), err
	case m.End != nil:
		answer, err := client.End(ctx, keys.FromEnd(m.End))
		reply.Taken, reply.Err = answer.GetTaken(), err
	default:
		answer, err := client.Replicate(ctx, keys.FromReplicate(m.Replicate))
		reply.Ack, reply.Err = keys.ToAck(answer), err
	}
	return reply
}
