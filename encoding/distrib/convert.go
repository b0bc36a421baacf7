// Package distrib encodes the messages by which nodes pull the configuration
// stream from each other, as protocol buffers over Twirp. Decoding checks
// lengths and signs; it does not authenticate the sender.
package distrib

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// FromRequest encodes a pull request. wait is the longest time that the
// receiver waits before it answers.
func FromRequest(r spread.Request, wait time.Duration) *PullRequest {
	return &PullRequest{
		Host: string(r.Host), Served: uint64(r.Served), Offset: r.Offset, Digest: encodeDigest(r.Digest),
		Snapshot: r.Snapshot, Part: r.Part, Chunk: uint32(r.Chunk),
		MaxAgeNs: uint64(r.MaxAge), WaitMs: uint64(wait.Milliseconds()),
	}
}

// ToRequest decodes a pull request, and the longest time that the receiver waits
// before it answers. It returns an error if the host is missing, the digest has
// a wrong length or the age is negative.
func ToRequest(m *PullRequest) (spread.Request, time.Duration, error) {
	digest, err := decodeDigest(m.Digest)
	r := spread.Request{
		Host: mesh.HostID(m.Host), Served: mesh.Version(m.Served), Offset: m.Offset, Digest: digest,
		Snapshot: m.Snapshot, Part: m.Part, Chunk: int(m.Chunk), MaxAge: time.Duration(m.MaxAgeNs),
	}
	if err == nil && (m.Host == "" || r.MaxAge < 0) {
		err = eris.New("distrib: pull request has no host or a negative maximum age")
	}
	return r, time.Duration(m.WaitMs) * time.Millisecond, err
}

// FromAnswer encodes the answer to a pull request.
func FromAnswer(a spread.Answer) *PullAnswer {
	m := &PullAnswer{
		Kind: uint32(a.Kind), Offset: a.Offset, Digest: encodeDigest(a.Digest),
		AgeNs: uint64(a.Age), AgeKnown: a.AgeKnown, RetryAfterMs: uint64(a.RetryAfter.Milliseconds()),
		ContactAgeMs: uint64(a.ContactAge.Milliseconds()), ContactKnown: a.ContactKnown,
	}
	for _, r := range a.Records {
		m.Records = append(m.Records, &Record{Offset: r.Offset, Data: r.Data})
	}
	if a.Kind == spread.Chunk {
		c := a.Chunk
		m.Chunk = &SnapshotChunk{ID: c.ID, Offset: c.Offset, Index: uint32(c.Index), Count: uint32(c.Count), Data: c.Data}
	}
	return m
}

// ToAnswer decodes the answer to a pull request. It returns an error if the
// digest has a wrong length or a duration is negative.
func ToAnswer(m *PullAnswer) (spread.Answer, error) {
	digest, err := decodeDigest(m.Digest)
	a := spread.Answer{
		Kind: spread.Kind(min(m.Kind, uint32(spread.Hold))), Offset: m.Offset, Digest: digest,
		Age: time.Duration(m.AgeNs), AgeKnown: m.AgeKnown,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		ContactAge: time.Duration(m.ContactAgeMs) * time.Millisecond, ContactKnown: m.ContactKnown,
	}
	for _, r := range m.Records {
		a.Records = append(a.Records, spread.Record{Offset: r.Offset, Data: r.Data})
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
func encodeDigest(d spread.Digest) []byte {
	if d == (spread.Digest{}) {
		return nil
	}
	return d[:]
}

func decodeDigest(data []byte) (d spread.Digest, err error) {
	if len(data) != 0 && len(data) != len(d) {
		return d, eris.Errorf("distrib: digest has a wrong length: %d bytes", len(data))
	}
	copy(d[:], data)
	return d, nil
}
