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

// EncodeClaim encodes a claim of a key.
func EncodeClaim(r *idempotency.ClaimRequest) *ClaimRequest {
	return &ClaimRequest{
		Key: []byte(r.Key), Digest: []byte(r.Digest), Attempt: r.Attempt,
		To: encodeHolder(r.To), RunMicros: r.RunTimeout.Microseconds(),
	}
}

// DecodeClaim decodes a claim of a key. It returns false if the key has a wrong
// length, the attempt is empty or the run timeout is negative.
func DecodeClaim(r *ClaimRequest) (*idempotency.ClaimRequest, bool) {
	ok := len(r.GetKey()) == keyBytes && r.GetAttempt() != "" && r.GetRunMicros() >= 0
	return &idempotency.ClaimRequest{
		Key: idempotency.KeyID(r.GetKey()), Digest: idempotency.Digest(r.GetDigest()), Attempt: r.GetAttempt(),
		To: decodeHolder(r.GetTo()), RunTimeout: decodeMicros(r.GetRunMicros()),
	}, ok
}

// EncodeClaimReply encodes the reply to a claim.
func EncodeClaimReply(r idempotency.Reply) *ClaimReply {
	return &ClaimReply{Status: int32(r.Status), Answer: encodeResponse(r.Response)}
}

// DecodeClaimReply decodes the reply to a claim. A status unknown to this build
// decodes as NotPrimary.
func DecodeClaimReply(r *ClaimReply) idempotency.Reply {
	status := r.GetStatus()
	if status < 0 || status > int32(idempotency.KeyTableFull) {
		status = 0
	}
	return idempotency.Reply{Status: idempotency.Status(status), Response: decodeResponse(r.GetAnswer())}
}

// EncodeEnd encodes the report that an attempt has ended.
func EncodeEnd(r *idempotency.EndReport) *EndRequest {
	return &EndRequest{
		Key: []byte(r.Key), Digest: []byte(r.Digest), Attempt: r.Attempt,
		To: encodeHolder(r.To), Verdict: r.Verdict.String(), Answer: encodeResponse(r.Response),
	}
}

// DecodeEnd decodes the report that an attempt has ended. It returns false if the
// key has a wrong length or the attempt is empty.
func DecodeEnd(r *EndRequest) (*idempotency.EndReport, bool) {
	ok := len(r.GetKey()) == keyBytes && r.GetAttempt() != ""
	return &idempotency.EndReport{
		Key: idempotency.KeyID(r.GetKey()), Digest: idempotency.Digest(r.GetDigest()), Attempt: r.GetAttempt(),
		To: decodeHolder(r.GetTo()), Verdict: verdict.Parse(r.GetVerdict()), Response: decodeResponse(r.GetAnswer()),
	}, ok
}

// EncodeReplicate encodes a message from a shard's primary to its backup.
func EncodeReplicate(m *idempotency.ReplicateRequest) *ReplicateRequest {
	entries := make([]*Entry, len(m.Entries))
	for i, e := range m.Entries {
		entries[i] = encodeEntry(e)
	}
	return &ReplicateRequest{
		Shard: int32(m.Shard), Epoch: m.Epoch, To: encodeHolder(m.To), Entries: entries,
		IsCopy: m.IsStateChunk, Chunk: int32(m.Chunk), Last: m.IsLastChunk, QuarantineMicros: m.QuarantineRemaining.Microseconds(),
	}
}

// DecodeReplicate decodes a message from a shard's primary to its backup. It
// returns false if the shard is out of range or a key has a wrong length.
func DecodeReplicate(m *ReplicateRequest) (*idempotency.ReplicateRequest, bool) {
	ok := m.GetShard() >= 0 && m.GetShard() < idempotency.MaxShards
	entries := make([]idempotency.ReplicatedEntry, len(m.GetEntries()))
	for i, e := range m.GetEntries() {
		ok = ok && len(e.GetKey()) == keyBytes
		entries[i] = decodeEntry(e)
	}
	return &idempotency.ReplicateRequest{
		Shard: int(m.GetShard()), Epoch: m.GetEpoch(), To: decodeHolder(m.GetTo()), Entries: entries,
		IsStateChunk: m.GetIsCopy(), Chunk: int(m.GetChunk()), IsLastChunk: m.GetLast(), QuarantineRemaining: decodeMicros(m.GetQuarantineMicros()),
	}, ok
}

func encodeEntry(r idempotency.ReplicatedEntry) *Entry {
	e := r.Entry
	return &Entry{
		Key: []byte(r.Key), Digest: []byte(e.Digest), Attempt: e.Attempt, State: int32(e.State),
		Epoch: e.Revision.Epoch, Number: e.Revision.Number, Answer: encodeResponse(e.Response),
		RunLeftMicros: r.RunRemaining.Microseconds(), LeftMicros: r.TTL.Microseconds(),
	}
}

func decodeEntry(e *Entry) idempotency.ReplicatedEntry {
	return idempotency.ReplicatedEntry{
		Key: idempotency.KeyID(e.GetKey()),
		Entry: idempotency.Entry{
			Attempt:  e.GetAttempt(),
			Digest:   idempotency.Digest(e.GetDigest()),
			State:    idempotency.State(e.GetState()),
			Revision: idempotency.Revision{Epoch: e.GetEpoch(), Number: e.GetNumber()},
			Response: decodeResponse(e.GetAnswer()),
		},
		RunRemaining: decodeMicros(e.GetRunLeftMicros()),
		TTL:          decodeMicros(e.GetLeftMicros()),
	}
}

func encodeResponse(r *idempotency.StoredResponse) *Answer {
	if r == nil {
		return nil
	}
	return &Answer{Status: int32(r.Status), Headers: r.Headers, Body: r.Body}
}

func decodeResponse(a *Answer) *idempotency.StoredResponse {
	if a == nil {
		return nil
	}
	return &idempotency.StoredResponse{Status: int(a.GetStatus()), Headers: a.GetHeaders(), Body: a.GetBody()}
}

func encodeHolder(h idempotency.Holder) *Holder {
	return &Holder{Host: string(h.Host), Life: uint64(h.StartIncarnation)}
}

func decodeHolder(h *Holder) idempotency.Holder {
	return idempotency.Holder{Host: mesh.HostID(h.GetHost()), StartIncarnation: mesh.Incarnation(h.GetLife())}
}

func decodeMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// DecodeAck decodes a backup's acknowledgement. A value unknown to this build
// decodes as NotAcked.
func DecodeAck(r *ReplicateReply) idempotency.Ack {
	switch ack := idempotency.Ack(r.GetAck()); ack {
	case idempotency.Acked, idempotency.Superseded:
		return ack
	}
	return idempotency.NotAcked
}
