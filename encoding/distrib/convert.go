// Package distrib encodes the messages by which nodes pull the configuration
// stream from each other, as protocol buffers over Twirp. Decoding checks
// lengths and signs; it does not authenticate the sender.
package distrib

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// EncodePullRequest encodes a pull request. wait is the longest time that the
// receiver waits before it answers.
func EncodePullRequest(r distribution.PullRequest, wait time.Duration) *PullRequest {
	return &PullRequest{
		Host: string(r.Host), Served: uint64(r.Served), Offset: r.Offset, Digest: encodeDigest(r.Digest),
		Snapshot: r.Snapshot, Part: r.PartialID, Chunk: uint32(r.NextChunk),
		MaxAgeNs: uint64(r.MaxAge), WaitMs: uint64(wait.Milliseconds()),
	}
}

// DecodePullRequest decodes a pull request, and the longest time that the receiver
// waits before it answers. It returns an error if the host is missing, the digest
// has a wrong length or the age is negative.
func DecodePullRequest(m *PullRequest) (distribution.PullRequest, time.Duration, error) {
	digest, err := decodeDigest(m.Digest)
	r := distribution.PullRequest{
		Host: mesh.HostID(m.Host), Served: mesh.Version(m.Served), Offset: m.Offset, Digest: digest,
		Snapshot: m.Snapshot, PartialID: m.Part, NextChunk: int(m.Chunk), MaxAge: time.Duration(m.MaxAgeNs),
	}
	if err == nil && (m.Host == "" || r.MaxAge < 0) {
		err = eris.New("distrib: pull request has no host or a negative maximum age")
	}
	return r, time.Duration(m.WaitMs) * time.Millisecond, err
}

// EncodePullAnswer encodes the answer to a pull request.
func EncodePullAnswer(a distribution.PullAnswer) *PullAnswer {
	m := &PullAnswer{
		Kind: uint32(a.Kind), Offset: a.Offset, Digest: encodeDigest(a.Digest),
		AgeNs: uint64(a.Age), AgeKnown: a.AgeKnown, RetryAfterMs: uint64(a.RetryAfter.Milliseconds()),
		ContactAgeMs: uint64(a.ContactAge.Milliseconds()), ContactKnown: a.ContactKnown,
	}
	for _, r := range a.Records {
		m.Records = append(m.Records, &Record{Offset: r.Offset, Data: r.Data})
	}
	if a.Kind == distribution.KindChunk {
		c := a.Chunk
		m.Chunk = &SnapshotChunk{ID: c.ID, Offset: c.Offset, Index: uint32(c.Index), Count: uint32(c.Count), Data: c.Data}
	}
	return m
}

// DecodePullAnswer decodes the answer to a pull request. It returns an error if
// the digest has a wrong length or a duration is negative.
func DecodePullAnswer(m *PullAnswer) (distribution.PullAnswer, error) {
	digest, err := decodeDigest(m.Digest)
	a := distribution.PullAnswer{
		Kind: distribution.AnswerKind(min(m.Kind, uint32(distribution.KindHold))), Offset: m.Offset, Digest: digest,
		Age: time.Duration(m.AgeNs), AgeKnown: m.AgeKnown,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		ContactAge: time.Duration(m.ContactAgeMs) * time.Millisecond, ContactKnown: m.ContactKnown,
	}
	for _, r := range m.Records {
		a.Records = append(a.Records, distribution.Record{Offset: r.Offset, Data: r.Data})
	}
	if c := m.Chunk; c != nil {
		a.Chunk = snapshot.Chunk{ID: c.ID, Offset: c.Offset, Index: int(c.Index), Count: int(c.Count), Data: c.Data}
	}
	if err == nil && (a.Age < 0 || a.RetryAfter < 0 || a.ContactAge < 0) {
		err = eris.New("distrib: pull answer has a negative duration")
	}
	return a, err
}

// encodeDigest encodes the zero digest as no bytes.
func encodeDigest(d distribution.Digest) []byte {
	if d == (distribution.Digest{}) {
		return nil
	}
	return d[:]
}

func decodeDigest(data []byte) (d distribution.Digest, err error) {
	if len(data) != 0 && len(data) != len(d) {
		return d, eris.Errorf("distrib: digest has a wrong length: %d bytes", len(data))
	}
	copy(d[:], data)
	return d, nil
}
