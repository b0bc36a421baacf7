package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
)

// KeyMap is what a node has read of the keys stream.
type KeyMap struct {
	Map idempotency.Map
	// LinkedAt is when each shard's last record was read.
	LinkedAt [idempotency.MaxShards]time.Time
	// AskedAt is when the read under way was asked for.
	AskedAt time.Time
	// Confirmed is when the log was last known to have no later record.
	Confirmed time.Time
}

// KeyPlan is what a node remembers between two plans of holders.
type KeyPlan struct {
	// LostSince is since when each shard has had no holder; zero while it has.
	LostSince [idempotency.MaxShards]time.Time
	// Wait is when to plan again at the earliest, after a record was written.
	Wait time.Time
}

// KeyOperation is a request of another node about keys, while it is handled.
// One of the three requests is set.
type KeyOperation struct {
	Claim     *idempotency.ClaimRequest
	End       *idempotency.EndReport
	Replicate *idempotency.Replicate
	// Epoch is the one under which the backup was asked; zero until then.
	Epoch uint64
	// Done is true once the outcome is set.
	Done  bool
	Reply idempotency.Reply
	Taken bool
	Ack   idempotency.Ack
}

// KeySend asks an I/O worker to send a message about keys. One of the three
// messages is set.
type KeySend struct {
	// Address is the IP and port of the receiver's peers' listener.
	Address   string
	Claim     *idempotency.ClaimRequest
	End       *idempotency.EndReport
	Replicate *idempotency.Replicate
}

// KeyReply is what came of a KeySend.
type KeyReply struct {
	Sent  KeySend
	Reply idempotency.Reply
	Taken bool
	Ack   idempotency.Ack
	// Err is nil when the receiver answered.
	Err error
}

// Keys has the tables of idempotency keys.
type Keys struct {
	// Claims has the claims of this node's own callers, by attempt. The callers'
	// front end adds and ends them; the controller keyclaim does the rest.
	Claims *blackboard.Table[string, idempotency.Claim]
	// KeyMap is who holds which shard. Written by the controller logread.
	KeyMap *blackboard.Cell[KeyMap]
	// KeyPlan is written by the controller keyplan.
	KeyPlan *blackboard.Cell[KeyPlan]
	// KeyShards has the shards that this node holds. Written by logread and by
	// the controllers keyhome and keysync.
	KeyShards *blackboard.Table[int, idempotency.Shard]
	// KeyEntries has the keys of those shards. Written by the same.
	KeyEntries *blackboard.Table[idempotency.ID, idempotency.Entry]
	// KeyOperations has the requests of other nodes, by an ID of this node's.
	// The peers' front end adds and deletes them; keyhome decides.
	KeyOperations *blackboard.Table[string, KeyOperation]
	// KeySends is the outbox to other nodes, KeyReplies its inbox. The part of
	// the key before the colon tells whose they are.
	KeySends   *blackboard.Table[string, KeySend]
	KeyReplies *blackboard.Table[string, KeyReply]
}

func newKeys(b *blackboard.Board) Keys {
	return Keys{
		Claims:        blackboard.NewTable[string, idempotency.Claim](b, "claims", rankClaims),
		KeyMap:        blackboard.NewCell[KeyMap](b, "key_map", rankKeyMap),
		KeyPlan:       blackboard.NewCell[KeyPlan](b, "key_plan", rankKeyPlan),
		KeyShards:     blackboard.NewTable[int, idempotency.Shard](b, "key_shards", rankKeyShards),
		KeyEntries:    blackboard.NewTable[idempotency.ID, idempotency.Entry](b, "key_entries", rankKeyEntries),
		KeyOperations: blackboard.NewTable[string, KeyOperation](b, "key_operations", rankKeyOperations),
		KeySends:      blackboard.NewTable[string, KeySend](b, "key_sends", rankKeySends),
		KeyReplies:    blackboard.NewTable[string, KeyReply](b, "key_replies", rankKeyReplies),
	}
}

// KeyStore is the entries within a transaction that holds them for writing. It
// implements idempotency.Store.
type KeyStore struct {
	Table *blackboard.Table[idempotency.ID, idempotency.Entry]
	Tx    *blackboard.Tx
}

// Get returns the entry of a key.
func (s KeyStore) Get(id idempotency.ID) (idempotency.Entry, bool) { return s.Table.Get(s.Tx, id) }

// Put writes the entry of a key.
func (s KeyStore) Put(id idempotency.ID, e idempotency.Entry) { s.Table.Put(s.Tx, id, e) }

// Len returns the number of entries.
func (s KeyStore) Len() int { return s.Table.Len(s.Tx) }
