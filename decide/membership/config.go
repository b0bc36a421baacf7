package membership

import (
	"math"
	"time"
)

// Config has the times of the protocol. Shorter ones find the dead sooner and
// cost more bytes and more wrong suspicions.
type Config struct {
	// Period is the time between two probes of a node.
	Period time.Duration
	// AckTimeout is the wait for an answer before others are asked to probe.
	AckTimeout time.Duration
	// FailTimeout is the wait for an answer before the member is suspected.
	FailTimeout time.Duration
	// SuspicionMin is the length of a suspicion that enough accusers confirm.
	// It bounds how long a pause may be that does no harm.
	SuspicionMin time.Duration
	// SuspicionMax is the length of a suspicion that nobody confirms.
	SuspicionMax time.Duration
	// GossipInterval is the time between two rounds in which news is passed on.
	GossipInterval time.Duration
	// SyncInterval is the mean time between two comparisons of the whole table
	// with a peer.
	SyncInterval time.Duration
	// JoinInterval is the time between two comparisons while they differ.
	JoinInterval time.Duration
	// ZoneTimeout is the silence after which a zone counts as unreachable.
	ZoneTimeout time.Duration
	// TombstoneAge is how long a member that is gone stays known, so that old
	// news does not bring it back.
	TombstoneAge time.Duration
	// ConfirmSpan is how long after a probe that was answered a node can be
	// sure that nobody has declared it gone.
	ConfirmSpan time.Duration
}

// DefaultConfig returns the times that a node runs with.
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

// SuspicionTimeout returns how long a suspicion lasts: the more accusers, the
// shorter. witnesses is the number of other nodes that could confirm it.
func (c Config) SuspicionTimeout(accusers, witnesses int) time.Duration {
	wanted := min(maxAccusers, witnesses)
	if wanted <= 1 || accusers >= wanted {
		return c.SuspicionMin
	}
	share := math.Log(float64(accusers)) / math.Log(float64(wanted))
	span := float64(c.SuspicionMax - c.SuspicionMin)
	return c.SuspicionMax - time.Duration(share*span)
}
