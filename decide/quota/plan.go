// Package quota decides how the quota of a client account is enforced by all
// nodes together. In each zone one node grants the account's tokens from a token
// bucket with the zone's part of the rate; the other nodes lease tokens from it
// for a short time. A node whose zone has no tokens left asks the granting nodes
// of other zones for a loan. Tokens are created by granting nodes only and are
// lost, never duplicated, when a datagram is lost.
//
// The package works on values: the time and the random source are passed in.
package quota

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// The bound on the requests of an account: in any window, at most
// (rate x window + burst) x (1 + overshoot) + slack.
const (
	window    = 5 * time.Second
	overshoot = 0.1
	slack     = 20.0
)

const (
	// LeaseValidity is how long a node can use the tokens of a lease, counted from
	// the sending of its request.
	LeaseValidity = 250 * time.Millisecond
	// AnswerTimeout is how long a node waits for the answer of a granting node. A
	// host with 0.16 of a core is throttled for up to 84 ms of each 100 ms, and a
	// shorter timeout would take such a host for dead.
	AnswerTimeout = 100 * time.Millisecond
	// maxGrantersAsked is the number of granting nodes that are asked one after
	// the other: the one of the own zone and those of two other zones.
	maxGrantersAsked = 3
	// maxWait is how long a request can wait for a token.
	maxWait = maxGrantersAsked * AnswerTimeout
	// usedLate is how long after its creation a token can be used at the latest,
	// measured against the time at which the request was sent.
	usedLate = LeaseValidity + maxWait
	// ShareFraction is the fraction of the permitted excess that nodes use while
	// no granting node answers.
	ShareFraction = 0.3
	// reservedFraction is the fraction that nobody uses, for the moments in which two
	// nodes take themselves for the granting node.
	reservedFraction = 0.1
	// maxExtraBurst is how far the capacity of all zones can exceed the burst.
	maxExtraBurst = (1 - ShareFraction - reservedFraction) * slack
)

// Refill describes a token bucket: tokens a second, and how many it holds.
type Refill struct {
	Rate, Capacity float64
}

// permittedExcess returns how far an account's requests in a window may exceed
// rate and burst.
func permittedExcess(a mesh.Account) float64 {
	return overshoot*(a.RatePerSecond*window.Seconds()+a.Burst) + slack
}

const (
	// maxRateRatio is how far the refill exceeds the rate where the burst allows it:
	// a window permits its burst besides the rate, so that an account that sends a
	// little more than its rate all the time stays within its quota.
	maxRateRatio = 1.08
	// burstRatio is the capacity that is kept for short peaks, in seconds of the rate.
	burstRatio = 0.3
)

// ZoneRefill returns the bucket of one of the given number of zones. The requests
// in a window use tokens that were created in a span that is longer by usedLate,
// so the capacity is lower by the tokens of that time. If the burst is too small
// for that, the capacity is one token and the rate is reduced instead.
func ZoneRefill(a mesh.Account, zones int) Refill {
	parts := float64(max(zones, 1))
	span := (window + usedLate).Seconds()
	available := a.RatePerSecond*window.Seconds() + a.Burst + (1-ShareFraction-reservedFraction)*permittedExcess(a)
	reserve := min(burstRatio*a.RatePerSecond+maxExtraBurst, a.Burst+maxExtraBurst)
	rate := min(maxRateRatio*a.RatePerSecond, a.RatePerSecond+a.Burst/window.Seconds(), (available-reserve)/span)
	rate = max(rate, a.RatePerSecond)
	r := Refill{Rate: rate, Capacity: min(available-rate*span, a.Burst+maxExtraBurst)}
	if r.Capacity < parts {
		r.Capacity = parts
		r.Rate = max(min(r.Rate, (available-parts)/span), 0)
	}
	return Refill{Rate: r.Rate / parts, Capacity: r.Capacity / parts}
}

// nodeShare returns the bucket that each of the given number of nodes uses while
// no granting node answers. In a window a node can use its capacity and one
// refill, which is why each is half of its part.
func nodeShare(a mesh.Account, nodes int) Refill {
	part := ShareFraction * permittedExcess(a) / float64(max(nodes, 1))
	return Refill{Rate: part / 2 / window.Seconds(), Capacity: part / 2}
}

// level returns the tokens of a bucket after it was refilled for the given time.
func (r Refill) level(before float64, elapsed time.Duration) float64 {
	return min(before+r.Rate*max(elapsed, 0).Seconds(), r.Capacity)
}
