package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
)

// KeyMap is the state folded from the keys stream: the assignment of shards to
// nodes.
type KeyMap struct {
	Map idempotency.ShardMap
	// LastRecordAt is when this node read the last record of each shard.
	LastRecordAt [idempotency.MaxShards]time.Time
	// RequestedAt is when the outstanding read was requested.
	RequestedAt time.Time
	// LogConfirmedAt is the latest time at which the log is known to have had no
	// record after Map.Offset.
	LogConfirmedAt time.Time
}

// KeyPlan is the state that planning the assignment of shards keeps between two
// runs.
type KeyPlan struct {
	// LostSince is since when each shard has had no usable holder; zero while
	// it has one.
	LostSince [idempotency.MaxShards]time.Time
	// NotBefore is the earliest time of the next record, set after one was
	// written.
	NotBefore time.Time
}

// KeyOperation is a request of another node about idempotency keys, until it is
// answered. Exactly one of Claim, End and Replicate is set.
type KeyOperation struct {
	Claim     *idempotency.ClaimRequest
	End       *idempotency.EndReport
	Replicate *idempotency.ReplicateRequest
	// Epoch is the shard's epoch under which a claim was replicated to the
	// backup; zero before.
	Epoch uint64
	// Done is true once the outcome is set: Reply for a claim, EndAccepted for
	// an end report, Ack for a replication.
	Done        bool
	Reply       idempotency.Reply
	EndAccepted bool
	Ack         idempotency.Ack
}

// KeyMessage is a request to an I/O worker to send a message about idempotency
// keys to another node. Exactly one of Claim, End and Replicate is set.
type KeyMessage struct {
	// Address is the IP:port of the receiver's listener for peers.
	Address   string
	Claim     *idempotency.ClaimRequest
	End       *idempotency.EndReport
	Replicate *idempotency.ReplicateRequest
}

// KeyReply is the result of a KeyMessage.
type KeyReply struct {
	Message KeyMessage
	// Reply answers a claim, EndAccepted an end report, Ack a replication.
	Reply       idempotency.Reply
	EndAccepted bool
	Ack         idempotency.Ack
	// Err is nil when the receiver answered.
	Err error
}

// Keys groups the tables of idempotency keys.
type Keys struct {
	// Claims holds the claims of requests that this node received from callers,
	// by attempt. Added and ended by the callers' front end, advanced and
	// deleted by the controller keyclaim.
	Claims *blackboard.Table[string, idempotency.Claim]
	// KeyMap is the assignment of shards to nodes. Written by the controller
	// logread.
	KeyMap *blackboard.Cell[KeyMap]
	// KeyPlan is written by the controller keyplan.
	KeyPlan *blackboard.Cell[KeyPlan]
	// KeyShards holds the shards assigned to this node. Written by the
	// controllers logread, keyhome, keyexpiry and keysync.
	KeyShards *blackboard.Table[int, idempotency.Shard]
	// KeyEntries holds the keys of those shards. Written by the same
	// controllers.
	KeyEntries *blackboard.Table[idempotency.KeyID, idempotency.Entry]
	// KeyOperations holds the requests of other nodes, by an ID that this node
	// assigns. Added and deleted by the peers' front end, decided by the
	// controller keyhome.
	KeyOperations *blackboard.Table[string, KeyOperation]
	// KeyMessages is the outbox of messages to other nodes, KeyReplies the
	// inbox of their replies. The part of the row key before the colon
	// identifies the controller that sent the message.
	KeyMessages *blackboard.Table[string, KeyMessage]
	KeyReplies  *blackboard.Table[string, KeyReply]
}

func newKeys(b *blackboard.Board) Keys {
	return Keys{
		Claims:        blackboard.NewTable[string, idempotency.Claim](b, "claims", rankClaims),
		KeyMap:        blackboard.NewCell[KeyMap](b, "key_map", rankKeyMap),
		KeyPlan:       blackboard.NewCell[KeyPlan](b, "key_plan", rankKeyPlan),
		KeyShards:     blackboard.NewTable[int, idempotency.Shard](b, "key_shards", rankKeyShards),
		KeyEntries:    blackboard.NewTable[idempotency.KeyID, idempotency.Entry](b, "key_entries", rankKeyEntries),
		KeyOperations: blackboard.NewTable[string, KeyOperation](b, "key_operations", rankKeyOperations),
		KeyMessages:   blackboard.NewTable[string, KeyMessage](b, "key_sends", rankKeyMessages),
		KeyReplies:    blackboard.NewTable[string, KeyReply](b, "key_replies", rankKeyReplies),
	}
}

// KeyStore gives access to the key entries inside a transaction that has write
// access to them. It implements idempotency.Store.
type KeyStore struct {
	Table *blackboard.Table[idempotency.KeyID, idempotency.Entry]
	Tx    *blackboard.Tx
}

// Get returns the entry of a key, and whether there is one.
func (s KeyStore) Get(id idempotency.KeyID) (idempotency.Entry, bool) { return s.Table.Get(s.Tx, id) }

// Put writes the entry of a key.
func (s KeyStore) Put(id idempotency.KeyID, e idempotency.Entry) { s.Table.Put(s.Tx, id, e) }

// Len returns the number of entries.
func (s KeyStore) Len() int { return s.Table.Len(s.Tx) }
