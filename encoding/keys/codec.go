// Package keys encodes the messages by which nodes claim idempotency keys and
// replicate the key table's shards, as protocol buffers over Twirp. Durations
// are in microseconds on the wire.
package keys

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// keyBytes is the length of a key on the wire. A digest has the same length,
// which decoding does not check.
const keyBytes = 16

// FromClaim encodes a claim of a key.
func FromClaim(r *idempotency.ClaimRequest) *ClaimRequest {
	return &ClaimRequest{
		Key: []byte(r.Key), Digest: []byte(r.Digest), Attempt: r.Attempt,
		To: encodeHolder(r.To), RunMicros: r.Run.Microseconds(),
	}
}

// ToClaim decodes a claim of a key. It returns false if the key has a wrong
// length, the attempt is empty or the run time is negative.
func ToClaim(r *ClaimRequest) (*idempotency.ClaimRequest, bool) {
	ok := len(r.GetKey()) == keyBytes && r.GetAttempt() != "" && r.GetRunMicros() >= 0
	return &idempotency.ClaimRequest{
		Key: idempotency.ID(r.GetKey()), Digest: idempotency.Digest(r.GetDigest()), Attempt: r.GetAttempt(),
		To: decodeHolder(r.GetTo()), Run: decodeMicros(r.GetRunMicros()),
	}, ok
}

// FromReply encodes the reply to a claim.
func FromReply(r idempotency.Reply) *ClaimReply {
	return &ClaimReply{Status: int32(r.Status), Answer: encodeAnswer(r.Answer)}
}

// ToReply decodes the reply to a claim. A status unknown to this build decodes
// as NotHome.
func ToReply(r *ClaimReply) idempotency.Reply {
	status := r.GetStatus()
	if status < 0 || status > int32(idempotency.Full) {
		status = 0
	}
	return idempotency.Reply{Status: idempotency.Status(status), Answer: decodeAnswer(r.GetAnswer())}
}

// FromEnd encodes the report that an attempt has ended.
func FromEnd(r *idempotency.EndReport) *EndRequest {
	return &EndRequest{
		Key: []byte(r.Key), Digest: []byte(r.Digest), Attempt: r.Attempt,
		To: encodeHolder(r.To), Verdict: r.Verdict.String(), Answer: encodeAnswer(r.Answer),
	}
}

// ToEnd decodes the report that an attempt has ended. It returns false if the
// key has a wrong length or the attempt is empty.
func ToEnd(r *EndRequest) (*idempotency.EndReport, bool) {
	ok := len(r.GetKey()) == keyBytes && r.GetAttempt() != ""
	return &idempotency.EndReport{
		Key: idempotency.ID(r.GetKey()), Digest: idempotency.Digest(r.GetDigest()), Attempt: r.GetAttempt(),
		To: decodeHolder(r.GetTo()), Verdict: verdict.Parse(r.GetVerdict()), Answer: decodeAnswer(r.GetAnswer()),
	}, ok
}

// FromReplicate encodes a message from a shard's primary to its backup.
func FromReplicate(m *idempotency.Replicate) *ReplicateRequest {
	entries := make([]*Entry, len(m.Copies))
	for i, c := range m.Copies {
		entries[i] = encodeCopied(c)
	}
	return &ReplicateRequest{
		Shard: int32(m.Shard), Epoch: m.Epoch, To: encodeHolder(m.To), Entries: entries,
		IsCopy: m.IsCopy, Chunk: int32(m.Chunk), Last: m.Last, QuarantineMicros: m.Quarantine.Microseconds(),
	}
}

// ToReplicate decodes a message from a shard's primary to its backup. It returns
// false if the shard is out of range or a key has a wrong length.
func ToReplicate(m *ReplicateRequest) (*idempotency.Replicate, bool) {
	ok := m.GetShard() >= 0 && m.GetShard() < idempotency.MaxShards
	copies := make([]idempotency.Copied, len(m.GetEntries()))
	for i, e := range m.GetEntries() {
		ok = ok && len(e.GetKey()) == keyBytes
		copies[i] = decodeCopied(e)
	}
	return &idempotency.Replicate{
		Shard: int(m.GetShard()), Epoch: m.GetEpoch(), To: decodeHolder(m.GetTo()), Copies: copies,
		IsCopy: m.GetIsCopy(), Chunk: int(m.GetChunk()), Last: m.GetLast(), Quarantine: decodeMicros(m.GetQuarantineMicros()),
	}, ok
}

func encodeCopied(c idempotency.Copied) *Entry {
	e := c.Entry
	return &Entry{
		Key: []byte(c.Key), Digest: []byte(e.Digest), Attempt: e.Attempt, State: int32(e.State),
		Epoch: e.Stamp.Epoch, Number: e.Stamp.Number, Answer: encodeAnswer(e.Answer),
		RunLeftMicros: c.RunLeft.Microseconds(), LeftMicros: c.Left.Microseconds(),
	}
}

func decodeCopied(e *Entry) idempotency.Copied {
	return idempotency.Copied{
		Key: idempotency.ID(e.GetKey()),
		Entry: idempotency.Entry{
			Attempt: e.GetAttempt(),
			Digest:  idempotency.Digest(e.GetDigest()),
			State:   idempotency.State(e.GetState()),
			Stamp:   idempotency.Stamp{Epoch: e.GetEpoch(), Number: e.GetNumber()},
			Answer:  decodeAnswer(e.GetAnswer()),
		},
		RunLeft: decodeMicros(e.GetRunLeftMicros()),
		Left:    decodeMicros(e.GetLeftMicros()),
	}
}

func encodeAnswer(a *idempotency.Answer) *Answer {
	if a == nil {
		return nil
	}
	return &Answer{Status: int32(a.Status), Headers: a.Headers, Body: a.Body}
}

func decodeAnswer(a *Answer) *idempotency.Answer {
	if a == nil {
		return nil
	}
	return &idempotency.Answer{Status: int(a.GetStatus()), Headers: a.GetHeaders(), Body: a.GetBody()}
}

func encodeHolder(h idempotency.Holder) *Holder {
	return &Holder{Host: string(h.Host), Life: uint64(h.Life)}
}

func decodeHolder(h *Holder) idempotency.Holder {
	return idempotency.Holder{Host: mesh.HostID(h.GetHost()), Life: mesh.Incarnation(h.GetLife())}
}

func decodeMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// ToAck decodes a backup's acknowledgement. A value unknown to this build
// decodes as NoAck.
func ToAck(r *ReplicateReply) idempotency.Ack {
	switch ack := idempotency.Ack(r.GetAck()); ack {
	case idempotency.Acked, idempotency.Replaced:
		return ack
	}
	return idempotency.NoAck
}
