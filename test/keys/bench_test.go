package keys_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/encoding/keys"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// deliverAll delivers messages until the network is empty. It returns the number
// of requests and the size of their encoded bodies.
func (sim *simulation) deliverAll() (requests, bodySize int) {
	sim.settle()
	for len(sim.messages) > 0 {
		if m := sim.messages[0]; m.reply == nil {
			requests++
			bodySize += bodyBytes(m.send)
		}
		sim.deliver(0)
		sim.settle()
	}
	return requests, bodySize
}

// bodyBytes returns the size of a request's protobuf encoding.
func bodyBytes(s tables.KeyMessage) int {
	switch {
	case s.Claim != nil:
		return proto.Size(keys.EncodeClaim(s.Claim))
	case s.End != nil:
		return proto.Size(keys.EncodeEnd(s.End))
	default:
		return proto.Size(keys.EncodeReplicate(s.Replicate))
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBooking claims a new key and ends the booking in each iteration, with
// all nodes on one goroutine and no sockets. B/key is the memory that one of the
// two holders uses for a key.
func BenchmarkBooking(b *testing.B) {
	c := testConfig()
	c.MaxKeys = 1 << 30
	c.Window, c.Lease = time.Hour, time.Hour
	sim := newSimulation(3, c)
	sim.runHealthy(6*time.Second, sim.ignoreClaims)
	sim.deliverAll()
	before := heapBytes()
	requests, bodySize := 0, 0
	for i := range b.N {
		attempt := sim.startClaim(sim.nodes[0], strconv.Itoa(i), "x")
		r1, b1 := sim.deliverAll()
		sim.endAttempt(sim.nodes[0], attempt, verdict.Ran)
		r2, b2 := sim.deliverAll()
		requests += r1 + r2
		bodySize += b1 + b2
	}
	sim.nodes[0].openClaims = nil
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N)/2, "B/key")
	b.ReportMetric(float64(requests)/float64(b.N), "requests/booking")
	b.ReportMetric(float64(bodySize)/float64(b.N), "body-B/booking")
	runtime.KeepAlive(sim)
}

// TestCostOfFailures logs how many claims are refused after the loss of no holder,
// one, or both, and for how long. One node claims a new key every 1.5 s, with one
// shard and otherwise the default configuration. The member tables show a crash at
// once. Every refusal must have one of two expected reasons.
func TestCostOfFailures(t *testing.T) {
	c := idempotency.DefaultConfig()
	c.Shards = 1
	both := []idempotency.Role{idempotency.Primary, idempotency.Backup}
	for _, lost := range [][]idempotency.Role{nil, both[:1], both[1:], both} {
		sim := newSimulation(4, c)
		sim.runHealthy(20*time.Second, sim.ignoreClaims)
		var crashed []int
		for _, role := range lost {
			crashed = append(crashed, sim.holderIndex(role))
		}
		for _, i := range crashed {
			sim.crash(i)
		}
		claims := 0
		start := sim.clock.Now()
		last := start
		for sim.clock.Now().Sub(start) < 25*time.Minute {
			claimant := sim.nodes[0]
			attempt := sim.startClaim(claimant, strconv.Itoa(claims), "x")
			claims++
			sim.runHealthy(500*time.Millisecond, sim.ignoreClaims)
			sim.runHealthy(600*time.Millisecond, sim.ignoreClaims)
			claim, _ := sim.lookUpClaim(claimant, attempt)
			if claim.State == idempotency.ClaimGranted {
				sim.counts["granted"]++
			} else {
				sim.counts[string(claim.Refusal.Reason)]++
				last = sim.clock.Now()
			}
			sim.endAttempt(claimant, attempt, verdict.NotRun)
		}
		t.Logf("lost %v (1 primary, 2 backup): %d claims, last refusal after %v, %v", lost, claims, last.Sub(start), sim.counts)
		must.Eq(t, claims, sim.counts["granted"]+sim.counts["key_unknown"]+sim.counts["key_home_unreached"])
	}
}
