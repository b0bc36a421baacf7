// Package idempotency decides whether requests that carry an idempotency key
// are run, replayed or refused, so that a booking or purchase runs at most once
// per key within a window.
//
// The key space is divided into shards. Each shard is held in memory by two
// nodes, a primary and a backup, which records on a stream of the platform's
// log assign (ShardMap). The node that receives a request claims its key at the
// primary (Claim); the primary grants the claim once the backup has it too
// (Shard). A record that names the shard's previous record replaces the pair;
// the state is kept by a holder that has it completely. A shard that lost both
// holders restarts in quarantine: unknown keys are refused until every key
// granted before has left the window.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// MaxShards is the maximum number of shards of the key space.
const MaxShards = 64

// MaxKeyBytes is the maximum length of an idempotency key that callers send.
const MaxKeyBytes = 255

// hashBytes is the length of the truncated hashes in KeyID and Digest.
const hashBytes = 16

// KeyID identifies one key of one host name: 16 bytes of the SHA-256 of both. The
// scope is the requested host name, not the service, because a configuration
// change must not move a key.
type KeyID string

// NewKeyID returns the ID of a key. It ignores the host name's case and port.
func NewKeyID(hostName, key string) KeyID {
	name, _, _ := strings.Cut(strings.ToLower(hostName), ":")
	return KeyID(hashParts([]byte(name), []byte(key)))
}

// Digest identifies the content of a request: 16 bytes of the SHA-256 of method,
// host name, target and body.
type Digest string

// NewDigest returns the digest of a request. target is the path with the query.
func NewDigest(method, hostName, target string, body []byte) Digest {
	return Digest(hashParts([]byte(method), []byte(strings.ToLower(hostName)), []byte(target), body))
}

// hashParts returns the truncated SHA-256 of the parts. Each part is prefixed
// with its length, so that different lists of parts have different inputs.
func hashParts(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write(part)
	}
	return string(sum.Sum(nil)[:hashBytes])
}

// ValidKey reports whether a header value is a valid key: 1 to MaxKeyBytes
// printable ASCII characters, including spaces.
func ValidKey(key string) bool {
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return key != "" && len(key) <= MaxKeyBytes
}

// SupportsClass reports whether keys of requests of a class are claimed. Uploads
// are streamed, so their digest is unknown before the body ends; a key on an
// upload is handled only by the backend server.
func SupportsClass(c mesh.Class) bool { return c == mesh.Booking }

// Config has the parameters of the protocol. All nodes must have the same
// values.
type Config struct {
	// Shards is the number of shards of the key space, 1 to MaxShards. More
	// shards spread the load over more nodes; each adds one heartbeat per
	// HeartbeatInterval.
	Shards int
	// Window is how long a key is kept, at least, after it was granted. Memory
	// use and the quarantine after the loss of both holders grow with it.
	Window time.Duration
	// Lease is how long a primary can grant claims after the log last showed
	// that its pair was not replaced. A longer lease tolerates longer outages of
	// the platform, and lengthens the quarantine after the loss of both holders.
	Lease time.Duration
	// GrantTTL is how long a grant is valid: the time from sending the claim
	// to sending the request to a backend server, by the clock of the node that
	// received the request.
	GrantTTL time.Duration
	// MaxClockDrift bounds how far two hosts' clocks drift apart during window and
	// lease.
	MaxClockDrift time.Duration
	// MaxKeys bounds the keys that one node stores; claims of further keys are
	// refused.
	MaxKeys int
	// MaxResponseBytes bounds one stored response.
	MaxResponseBytes int
	// MaxShardResponseBytes bounds the total of one shard's stored responses.
	MaxShardResponseBytes int
	// ReportTimeout is how long the report of an attempt's end is retried.
	ReportTimeout time.Duration
	// KeepInterval is the time between two Keep records of a shard. It must be
	// well below half the retention of the log.
	KeepInterval time.Duration
	// ClaimTimeout is how long a claim is retried before it is refused because no
	// primary was reached.
	ClaimTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats from a primary to
	// its backup.
	HeartbeatInterval time.Duration
	// PeerTimeout is the time without contact after which a holder counts the other
	// one as lost.
	PeerTimeout time.Duration
	// FreshAfter is how long both holders must be lost before their shard is
	// restarted without its state.
	FreshAfter time.Duration
}

// DefaultConfig returns the values that nodes use.
func DefaultConfig() Config {
	return Config{
		Shards:                32,
		Window:                10 * time.Minute,
		Lease:                 10 * time.Minute,
		GrantTTL:              10 * time.Second,
		MaxClockDrift:         10 * time.Second,
		MaxKeys:               65536,
		MaxResponseBytes:      4 << 10,
		MaxShardResponseBytes: 512 << 10,
		ReportTimeout:         30 * time.Second,
		KeepInterval:          15 * time.Minute,
		ClaimTimeout:          time.Second,
		HeartbeatInterval:     2 * time.Second,
		PeerTimeout:           6 * time.Second,
		FreshAfter:            15 * time.Second,
	}
}

// ShardOf returns the shard that a key belongs to.
func (c Config) ShardOf(id KeyID) int { return int(id[0]) % c.Shards }

// quarantineTime is how long after a Fresh record a key that was granted before
// it can still be within its window.
func (c Config) quarantineTime() time.Duration {
	return c.Window + c.Lease + c.GrantTTL + c.MaxClockDrift
}
