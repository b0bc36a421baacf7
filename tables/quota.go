package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Quota groups the tables of the client accounts' quotas. Calls without an
// account that has a quota use none of them.
type Quota struct {
	// QuotaDuty is what the node knows of the granting nodes, and whether it can be
	// one. Written by the controller quota when the membership changes.
	QuotaDuty *blackboard.Cell[quota.Duty]
	// Leases holds the tokens that the node can use, and the refusals that it
	// remembers, by account. Written by the controllers calls and quota; the
	// latter deletes idle rows.
	Leases *blackboard.Table[mesh.AccountName, quota.Lease]
	// LeaseRequests holds the requests for tokens in flight and the calls that
	// wait for them, by account. The controller calls adds waiting calls; the
	// controller quota does the rest.
	LeaseRequests *blackboard.Table[mesh.AccountName, quota.Request]
	// Buckets holds the token buckets of the accounts whose granting node this
	// node is. Written by the controller quota.
	Buckets *blackboard.Table[mesh.AccountName, quota.Bucket]
	// QuotaMessagesOut is the outbox of messages to and from granting nodes, by
	// sequence number. Added by the controller quota, deleted by the I/O worker
	// that sends them.
	QuotaMessagesOut *blackboard.Table[uint64, quota.Envelope]
	// QuotaMessagesIn is the inbox, by sequence number. Added by the receiver of
	// datagrams, deleted by the controller quota.
	QuotaMessagesIn *blackboard.Table[uint64, quota.Envelope]
	// QuotaMessageCount is the number of the last row added to QuotaMessagesOut.
	// Written by the controller quota.
	QuotaMessageCount *blackboard.Cell[uint64]
}

func newQuota(b *blackboard.Board) Quota {
	return Quota{
		QuotaDuty:         blackboard.NewCell[quota.Duty](b, "quota_duty", rankQuotaDuty),
		Leases:            blackboard.NewTable[mesh.AccountName, quota.Lease](b, "leases", rankLeases),
		LeaseRequests:     blackboard.NewTable[mesh.AccountName, quota.Request](b, "lease_requests", rankLeaseRequests),
		Buckets:           blackboard.NewTable[mesh.AccountName, quota.Bucket](b, "buckets", rankBuckets),
		QuotaMessagesOut:  blackboard.NewTable[uint64, quota.Envelope](b, "quota_out", rankQuotaMessagesOut),
		QuotaMessagesIn:   blackboard.NewTable[uint64, quota.Envelope](b, "quota_in", rankQuotaMessagesIn),
		QuotaMessageCount: blackboard.NewCell[uint64](b, "quota_count", rankQuotaMessageCount),
	}
}
