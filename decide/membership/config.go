package membership

import (
	"math"
	"time"
)

// Config has the intervals and timeouts of the protocol. Shorter ones detect
// failures sooner, and cost more bandwidth and more false suspicions.
type Config struct {
	// ProbeInterval is the time between two probes of a node.
	ProbeInterval time.Duration
	// AckTimeout is how long a probe is unanswered before the node requests
	// indirect probes from other members.
	AckTimeout time.Duration
	// SuspectTimeout is how long a probe is unanswered before its target is
	// suspected.
	SuspectTimeout time.Duration
	// SuspicionMin is the length of a suspicion that enough members report. It
	// limits how long a node can be paused without being declared gone.
	SuspicionMin time.Duration
	// SuspicionMax is the length of a suspicion that only one member reports.
	SuspicionMax time.Duration
	// GossipInterval is the time between two gossip rounds.
	GossipInterval time.Duration
	// SyncInterval is the mean time between two comparisons of the whole table
	// with a peer.
	SyncInterval time.Duration
	// InitialSyncInterval is the mean time between two comparisons until the
	// table was once the same as a peer's.
	InitialSyncInterval time.Duration
	// ZoneTimeout is the time without a datagram from a zone after which the zone
	// counts as unreachable.
	ZoneTimeout time.Duration
	// TombstoneTTL is how long the record of a member that is gone is kept, so
	// that old records do not bring the member back.
	TombstoneTTL time.Duration
	// ConfirmationTTL is how long a confirmation is valid, from the sending of the
	// probe that was answered: within it no node can have declared this one
	// gone.
	ConfirmationTTL time.Duration
}

// DefaultConfig returns the values that nodes use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:       time.Second,
		AckTimeout:          250 * time.Millisecond,
		SuspectTimeout:      750 * time.Millisecond,
		SuspicionMin:        1500 * time.Millisecond,
		SuspicionMax:        4 * time.Second,
		GossipInterval:      100 * time.Millisecond,
		SyncInterval:        10 * time.Second,
		InitialSyncInterval: 300 * time.Millisecond,
		ZoneTimeout:         3500 * time.Millisecond,
		TombstoneTTL:        time.Hour,
		ConfirmationTTL:     2 * time.Second,
	}
}

// SuspicionTimeout returns how long a suspicion lasts: between SuspicionMax and
// SuspicionMin, shorter the more members report it. reporters is their number,
// at least 1, and peers the number of other nodes that could report it.
func (c Config) SuspicionTimeout(reporters, peers int) time.Duration {
	required := min(maxReporters, peers)
	if required <= 1 || reporters >= required {
		return c.SuspicionMin
	}
	fraction := math.Log(float64(reporters)) / math.Log(float64(required))
	span := float64(c.SuspicionMax - c.SuspicionMin)
	return c.SuspicionMax - time.Duration(fraction*span)
}
