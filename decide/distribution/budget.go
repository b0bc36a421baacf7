package distribution

import "time"

// Bounds of what a node sends to the nodes that pull from it. When many nodes pull
// at once, their answers are spread over the time that the rate requires.
const (
	budgetBytesPerSecond = 4 << 20
	budgetBurstBytes     = 2 << 20
	// busyRetrySpread is the range of the random delay added to RetryAfter, so that
	// refused nodes do not all retry at once.
	busyRetrySpread = time.Second
	// MaxIncomingPulls bounds the pulls that wait at one node.
	MaxIncomingPulls = 512
)

// Budget is a token bucket of answer bytes. It is immutable; the zero value is a
// full bucket.
type Budget struct {
	usedBytes float64
	updatedAt time.Time
}

// spend takes costBytes from the bucket, or returns how long to wait until it has
// them. A full bucket covers any cost, also one above the burst.
func (b Budget) spend(now time.Time, costBytes int) (Budget, time.Duration) {
	if costBytes == 0 {
		return b, 0
	}
	refilled := now.Sub(b.updatedAt).Seconds() * budgetBytesPerSecond
	used := max(b.usedBytes-refilled, 0)
	excess := used + float64(costBytes) - budgetBurstBytes
	if excess > 0 && used > 0 {
		return b, time.Duration(excess / budgetBytesPerSecond * float64(time.Second))
	}
	return Budget{usedBytes: used + float64(costBytes), updatedAt: now}, 0
}
