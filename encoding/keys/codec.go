// Package keys encodes what nodes tell each other about idempotency keys, as
// protocol buffers over Twirp.
package keys

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// idBytes is the length of keys and digests on the wire.
const idBytes = 16

// FromClaim encodes a claim.
func FromClaim(r *idempotency.ClaimRequest) *ClaimRequest {
	return &ClaimRequest{
		Key: []byte(r.Key), Digest: []byte(r.Digest), Attempt: r.Attempt,
		To: fromHolder(r.To), RunMicros: r.Run.Microseconds(),
	}
}

// ToClaim decodes a claim; false says that it is malformed.
func ToClaim(r *ClaimRequest) (*idempotency.ClaimRequest, bool) {
	ok := len(r.GetKey()) == idBytes && r.GetAttempt() != "" && r.GetRunMicros() >= 0
	return &idempotency.ClaimRequest{
		Key: idempotency.ID(r.GetKey()), Digest: idempotency.Digest(r.GetDigest()), Attempt: r.GetAttempt(),
		To: toHolder(r.GetTo()), Run: micros(r.GetRunMicros()),
	}, ok
}

// FromReply encodes the reply to a claim.
func FromReply(r idempotency.Reply) *ClaimReply {
	return &ClaimReply{Status: int32(r.Status), Answer: fromAnswer(r.Answer)}
}

// ToReply decodes the reply to a claim. A status that this build does not know
// reads as NotHome.
func ToReply(r *ClaimReply) idempotency.Reply {
	status := r.GetStatus()
	if status < 0 || status > int32(idempotency.Full) {
		status = 0
	}
	return idempotency.Reply{Status: idempotency.Status(status), Answer: toAnswer(r.GetAnswer())}
}

// FromEnd encodes the report of an attempt's end.
func FromEnd(r *idempotency.EndReport) *EndRequest {
	return &EndRequest{
		Key: []byte(r.Key), Digest: []byte(r.Digest), Attempt: r.Attempt,
		To: fromHolder(r.To), Verdict: r.Verdict.String(), Answer: fromAnswer(r.Answer),
	}
}

// ToEnd decodes the report of an attempt's end; false says that it is
// malformed.
func ToEnd(r *EndRequest) (*idempotency.EndReport, bool) {
	ok := len(r.GetKey()) == idBytes && r.GetAttempt() != ""
	return &idempotency.EndReport{
		Key: idempotency.ID(r.GetKey()), Digest: idempotency.Digest(r.GetDigest()), Attempt: r.GetAttempt(),
		To: toHolder(r.GetTo()), Verdict: verdict.Parse(r.GetVerdict()), Answer: toAnswer(r.GetAnswer()),
	}, ok
}

// FromReplicate encodes a message to a backup.
func FromReplicate(m *idempotency.Replicate) *ReplicateRequest {
	entries := make([]*Entry, len(m.Copies))
	for i, c := range m.Copies {
		entries[i] = fromCopied(c)
	}
	return &ReplicateRequest{
		Shard: int32(m.Shard), Epoch: m.Epoch, To: fromHolder(m.To), Entries: entries,
		IsCopy: m.IsCopy, Chunk: int32(m.Chunk), Last: m.Last, QuarantineMicros: m.Quarantine.Microseconds(),
	}
}

// ToReplicate decodes a message to a backup; false says that it is malformed.
func ToReplicate(m *ReplicateRequest) (*idempotency.Replicate, bool) {
	ok := m.GetShard() >= 0 && m.GetShard() < idempotency.MaxShards
	copies := make([]idempotency.Copied, len(m.GetEntries()))
	for i, e := range m.GetEntries() {
		ok = ok && len(e.GetKey()) == idBytes
		copies[i] = toCopied(e)
	}
	return &idempotency.Replicate{
		Shard: int(m.GetShard()), Epoch: m.GetEpoch(), To: toHolder(m.GetTo()), Copies: copies,
		IsCopy: m.GetIsCopy(), Chunk: int(m.GetChunk()), Last: m.GetLast(), Quarantine: micros(m.GetQuarantineMicros()),
	}, ok
}

func fromCopied(c idempotency.Copied) *Entry {
	e := c.Entry
	return &Entry{
		Key: []byte(c.Key), Digest: []byte(e.Digest), Attempt: e.Attempt, State: int32(e.State),
		Epoch: e.Stamp.Epoch, Number: e.Stamp.Number, Answer: fromAnswer(e.Answer),
		RunLeftMicros: c.RunLeft.Microseconds(), LeftMicros: c.Left.Microseconds(),
	}
}

func toCopied(e *Entry) idempotency.Copied {
	return idempotency.Copied{
		Key: idempotency.ID(e.GetKey()),
		Entry: idempotency.Entry{
			Attempt: e.GetAttempt(),
			Digest:  idempotency.Digest(e.GetDigest()),
			State:   idempotency.State(e.GetState()),
			Stamp:   idempotency.Stamp{Epoch: e.GetEpoch(), Number: e.GetNumber()},
			Answer:  toAnswer(e.GetAnswer()),
		},
		RunLeft: micros(e.GetRunLeftMicros()),
		Left:    micros(e.GetLeftMicros()),
	}
}

func fromAnswer(a *idempotency.Answer) *Answer {
	if a == nil {
		return nil
	}
	return &Answer{Status: int32(a.Status), Headers: a.Headers, Body: a.Body}
}

func toAnswer(a *Answer) *idempotency.Answer {
	if a == nil {
		return nil
	}
	return &idempotency.Answer{Status: int(a.GetStatus()), Headers: a.GetHeaders(), Body: a.GetBody()}
}

func fromHolder(h idempotency.Holder) *Holder {
	return &Holder{Host: string(h.Host), Life: uint64(h.Life)}
}

func toHolder(h *Holder) idempotency.Holder {
	return idempotency.Holder{Host: mesh.HostID(h.GetHost()), Life: mesh.Incarnation(h.GetLife())}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// ToAck decodes a backup's answer. One that this build does not know reads as
// NoAck.
func ToAck(r *ReplicateReply) idempotency.Ack {
	switch ack := idempotency.Ack(r.GetAck()); ack {
	case idempotency.Acked, idempotency.Replaced:
		return ack
	}
	return idempotency.NoAck
}
