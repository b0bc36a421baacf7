package spread

import "time"

// Bounds of what a node sends to those that ask it. A herd that comes back at
// once is spread over the time that the rate gives.
const (
	budgetBytesPerSecond = 4 << 20
	budgetBurstBytes     = 2 << 20
	// busySpread is the time over which turned-away nodes come back.
	busySpread = time.Second
	// MaxPulls is the number of requests that may wait at one node.
	MaxPulls = 512
)

// Budget is a token bucket of answer bytes. The zero value is full. It is a
// value.
type Budget struct {
	used float64
	at   time.Time
}

// take spends cost bytes, or returns how long until they can be spent.
func (b Budget) take(now time.Time, cost int) (Budget, time.Duration) {
	if cost == 0 {
		return b, 0
	}
	refilled := now.Sub(b.at).Seconds() * budgetBytesPerSecond
	used := max(b.used-refilled, 0)
	over := used + float64(cost) - budgetBurstBytes
	if over > 0 && used > 0 {
		return b, time.Duration(over / budgetBytesPerSecond * float64(time.Second))
	}
	return Budget{used: used + float64(cost), at: now}, 0
}
