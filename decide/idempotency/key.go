// Package idempotency decides what becomes of requests that carry an
// idempotency key, so that a booking or purchase runs at most once for each
// key within a window.
//
// The key space is split into shards. A shard is held in memory by two nodes,
// a primary and a backup, as assigned by records on a stream of the platform's
// log (Map). The node that took a request, the asker, claims the key from the
// primary (Claim); the primary grants the claim once the backup has it too
// (Shard). A pair is replaced by a record that names the record before it; the
// state goes over with a holder that has it whole. A shard whose holders are
// both lost begins in quarantine: keys that it has never seen are refused until
// every key granted before has left the window.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// MaxShards bounds the number of shards of the key space.
const MaxShards = 64

// MaxKeyBytes bounds an idempotency key as callers send it.
const MaxKeyBytes = 255

// hashBytes is the length of the hashes that stand for keys and requests.
const hashBytes = 16

// ID stands for one key of one host name: 16 bytes of their SHA-256. The scope
// is the host name that the caller asked for, because a change of the
// configuration must not move a key.
type ID string

// NewID returns the ID of a key. The host name's case and port do not matter.
func NewID(hostName, key string) ID {
	name, _, _ := strings.Cut(strings.ToLower(hostName), ":")
	return ID(hash([]byte(name), []byte(key)))
}

// Digest stands for the content of a request.
type Digest string

// NewDigest returns the digest of a request. target is the path with its query.
func NewDigest(method, hostName, target string, body []byte) Digest {
	return Digest(hash([]byte(method), []byte(strings.ToLower(hostName)), []byte(target), body))
}

// hash returns the hash of the parts; their lengths count, so that no two lists
// of parts run together.
func hash(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write(part)
	}
	return string(sum.Sum(nil)[:hashBytes])
}

// ValidKey reports whether a header value can be a key: 1 to MaxKeyBytes
// visible ASCII characters.
func ValidKey(key string) bool {
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return key != "" && len(key) <= MaxKeyBytes
}

// Applies reports whether keys count for a class. An upload's body is passed on
// as it comes and has no digest before its end, so a key on it is left to the
// backend server.
func Applies(c mesh.Class) bool { return c == mesh.Booking }

// Config sets the protocol up. All nodes must have the same values.
type Config struct {
	// Shards is the number of shards of the key space, 1 to MaxShards. More of
	// them spread the load over more nodes, and each costs a heartbeat.
	Shards int
	// Window is how long a key is remembered after it was granted. Memory and
	// the quarantine after a double loss grow with it.
	Window time.Duration
	// Lease is how long a pair may grant after it last knew from the log that
	// it was not replaced. A longer one serves through longer outages of the
	// platform; a shard whose holders are both lost is refused for longer.
	Lease time.Duration
	// GrantLife is how long after it sent the claim an asker may send the
	// request to a backend server, by the asker's clock.
	GrantLife time.Duration
	// Drift bounds how far two hosts' clocks part during window and lease.
	Drift time.Duration
	// MaxKeys bounds the keys that one node remembers; claims past it are
	// refused.
	MaxKeys int
	// MaxAnswerBytes bounds one answer that is kept for repeats.
	MaxAnswerBytes int
	// MaxShardAnswerBytes bounds the kept answers of one shard.
	MaxShardAnswerBytes int
	// ReportFor is how long an asker goes on to report an attempt's end.
	ReportFor time.Duration
	// KeepInterval is how often a shard's primary writes a Keep record. It must
	// be well below half the retention of the log.
	KeepInterval time.Duration
	// Patience is how long an asker tries to reach a key's home.
	Patience time.Duration
	// HeartbeatInterval is the pause between two messages from a primary to its
	// backup.
	HeartbeatInterval time.Duration
	// FailAfter is the silence after which one holder takes the other for lost.
	FailAfter time.Duration
	// FreshAfter is how long both holders must be lost before their shard
	// starts anew.
	FreshAfter time.Duration
}

// DefaultConfig returns the values that nodes use.
func DefaultConfig() Config {
	return Config{
		Shards:              32,
		Window:              10 * time.Minute,
		Lease:               10 * time.Minute,
		GrantLife:           10 * time.Second,
		Drift:               10 * time.Second,
		MaxKeys:             65536,
		MaxAnswerBytes:      4 << 10,
		MaxShardAnswerBytes: 512 << 10,
		ReportFor:           30 * time.Second,
		KeepInterval:        15 * time.Minute,
		Patience:            time.Second,
		HeartbeatInterval:   2 * time.Second,
		FailAfter:           6 * time.Second,
		FreshAfter:          15 * time.Second,
	}
}

// ShardOf returns the shard that a key belongs to.
func (c Config) ShardOf(id ID) int { return int(id[0]) % c.Shards }

// quarantine is how long after the record of a fresh start a key granted
// before it may still be within its window.
func (c Config) quarantine() time.Duration {
	return c.Window + c.Lease + c.GrantLife + c.Drift
}
