package membership

import (
	"math"
	"time"
)

// Config has the intervals and timeouts of the protocol. Shorter ones detect
// failures sooner, and cost more bandwidth and more false suspicions.
type Config struct {
	// Period is the time between two probes of a node.
	Period time.Duration
	// AckTimeout is how long a probe is unanswered before the node requests
	// indirect probes from other members.
	AckTimeout time.Duration
	// FailTimeout is how long a probe is unanswered before its target is
	// suspected.
	FailTimeout time.Duration
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
	// JoinInterval is the mean time between two comparisons until the table was
	// once the same as a peer's.
	JoinInterval time.Duration
	// ZoneTimeout is the silence after which a zone counts as unreachable.
	ZoneTimeout time.Duration
	// TombstoneAge is how long the record of a member that is gone is kept, so
	// that old records do not bring the member back.
	TombstoneAge time.Duration
	// ConfirmSpan is how long a confirmation is valid, from the sending of the
	// probe that was answered: within it no node can have declared this one
	// gone.
	ConfirmSpan time.Duration
}

// DefaultConfig returns the values that nodes use.
func DefaultConfig() Config {
	return Config{
		Period:         time.Second,
		AckTimeout:     250 * time.Millisecond,
		FailTimeout:    750 * time.Millisecond,
		SuspicionMin:   1500 * time.Millisecond,
		SuspicionMax:   4 * time.Second,
		GossipInterval: 100 * time.Millisecond,
		SyncInterval:   10 * time.Second,
		JoinInterval:   300 * time.Millisecond,
		ZoneTimeout:    3500 * time.Millisecond,
		TombstoneAge:   time.Hour,
		ConfirmSpan:    2 * time.Second,
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
