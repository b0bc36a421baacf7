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

// drain delivers what is on the wire until nothing is, and counts the requests
// and the bytes of their bodies.
func (w *world) drain() (requests, bytes int) {
	w.settle()
	for len(w.wire) > 0 {
		if m := w.wire[0]; m.reply == nil {
			requests++
			bytes += bodySize(m.send)
		}
		w.deliver(0)
		w.settle()
	}
	return requests, bytes
}

func bodySize(s tables.KeySend) int {
	switch {
	case s.Claim != nil:
		return proto.Size(keys.FromClaim(s.Claim))
	case s.End != nil:
		return proto.Size(keys.FromEnd(s.End))
	default:
		return proto.Size(keys.FromReplicate(s.Replicate))
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBooking claims, runs and ends bookings under new keys, all nodes in
// one thread and no sockets. B/key is what one holder keeps of a key.
func BenchmarkBooking(b *testing.B) {
	c := quick()
	c.MaxKeys = 1 << 30
	c.Window, c.Lease = time.Hour, time.Hour
	w := newWorld(3, c)
	w.goWell(6*time.Second, w.idle)
	w.drain()
	before := heap()
	requests, bytes := 0, 0
	for i := range b.N {
		attempt := w.claim(w.nodes[0], strconv.Itoa(i), "x")
		r1, b1 := w.drain()
		w.end(w.nodes[0], attempt, verdict.Ran)
		r2, b2 := w.drain()
		requests += r1 + r2
		bytes += b1 + b2
	}
	w.nodes[0].claims = nil
	b.ReportMetric(float64(heap()-before)/float64(b.N)/2, "B/key")
	b.ReportMetric(float64(requests)/float64(b.N), "requests/booking")
	b.ReportMetric(float64(bytes)/float64(b.N), "body-B/booking")
	runtime.KeepAlive(w)
}

// TestCostOfFailures writes down what failures cost in refusals: a claim of a
// new key every half second at one node, one shard, the real times. Membership
// knows of a death at once here.
func TestCostOfFailures(t *testing.T) {
	c := idempotency.DefaultConfig()
	c.Shards = 1
	both := []idempotency.Role{idempotency.Primary, idempotency.Backup}
	for _, lost := range [][]idempotency.Role{nil, both[:1], both[1:], both} {
		w := newWorld(4, c)
		w.goWell(20*time.Second, w.idle)
		var crashed []int
		for _, role := range lost {
			crashed = append(crashed, w.holder(role))
		}
		for _, i := range crashed {
			w.crash(i)
		}
		claims := 0
		start := w.clock.Now()
		last := start
		for w.clock.Now().Sub(start) < 25*time.Minute {
			asker := w.nodes[0]
			attempt := w.claim(asker, strconv.Itoa(claims), "x")
			claims++
			w.goWell(500*time.Millisecond, w.idle)
			w.goWell(600*time.Millisecond, w.idle)
			claim, _ := w.look(asker, attempt)
			if claim.State == idempotency.Held {
				w.counts["granted"]++
			} else {
				w.counts[string(claim.Refusal.Reason)]++
				last = w.clock.Now()
			}
			w.end(asker, attempt, verdict.NotRun)
		}
		t.Logf("lost %v (1 primary, 2 backup): %d claims, last refusal after %v, %v", lost, claims, last.Sub(start), w.counts)
		must.Eq(t, claims, w.counts["granted"]+w.counts["key_unknown"]+w.counts["key_home_unreached"])
	}
}
