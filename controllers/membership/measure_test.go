package membership_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	controllers "github.com/marigoldshelf/marigoldshelf/controllers/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// measure runs the measurements of docs/MEASUREMENTS.md; they prove nothing
// and take a while.
var measure = flag.Bool("measure", false, "measure the cost and speed of membership")

const quietSpan = 30 * time.Second

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMeasureSlopes prints, for three sizes of fleet, what a node sends and
// receives, its processor time and its memory.
func TestMeasureSlopes(t *testing.T) {
	if !*measure {
		t.Skip("give -measure")
	}
	for _, size := range []int{5, 10, 30, 93} {
		t.Run(fmt.Sprint(10*size), func(t *testing.T) { measureFleet(t, size) })
	}
}

func measureFleet(t *testing.T, perZone int) {
	empty := heap()
	n := newNetwork(t, uint64(perZone))
	for zone := range 10 {
		n.add(mesh.Zone(fmt.Sprintf("zone-%02d", zone)), perZone)
	}
	joined := n.until("all know all", 60*time.Second, n.whole)
	size := len(n.nodes)
	t.Logf("%d nodes: joined within %v, %d appends, %d bytes sent by a node", size, joined, len(n.appends), n.bytes/size)
	n.run(20 * time.Second)
	for _, h := range n.nodes {
		h.bytes = 0
	}
	n.bytes, n.packets = 0, 0
	cpu := cpuTime()
	n.run(quietSpan)
	used := cpuTime() - cpu
	var both []int
	for _, h := range n.nodes {
		both = append(both, h.bytes/int(quietSpan.Seconds()))
	}
	slices.Sort(both)
	seconds := int(quietSpan.Seconds())
	t.Logf("quiet: %d datagrams and %d bytes sent a second by a node; sent and received, median %d, most %d bytes a second",
		n.packets/size/seconds, n.bytes/size/seconds, both[size/2], both[size-1])
	t.Logf("processor time of a node, the network's stepping included: %v a second", used/time.Duration(size*seconds))
	t.Logf("heap: %d bytes for each member at each node", (heap()-empty)/uint64(size*size))
	measureDeath(t, n)
	runtime.KeepAlive(n)
}

// measureDeath kills one node after the other and prints how long each took to
// be gone everywhere, and what that cost.
func measureDeath(t *testing.T, n *network) {
	var times []time.Duration
	sent := n.bytes
	start := n.clock.Now()
	const deaths = 8
	for i := range deaths {
		dead := n.nodes[(i*37+3)%len(n.nodes)]
		dead.down = true
		times = append(times, n.until("dead everywhere", 30*time.Second, func() bool {
			return n.everyone(dead.self.Host, mesh.Dead)
		}))
	}
	slices.Sort(times)
	span := n.clock.Now().Sub(start).Seconds()
	t.Logf("%d deaths: known everywhere after %v; %.0f bytes a second sent by a node meanwhile",
		deaths, times, float64(n.bytes-sent)/float64(len(n.nodes))/span)
}

// TestMeasureDeaths prints how long deaths took over many seeds.
func TestMeasureDeaths(t *testing.T) {
	if !*measure {
		t.Skip("give -measure")
	}
	var times []time.Duration
	for seed := range uint64(40) {
		n := newNetwork(t, 100+seed)
		for _, zone := range []mesh.Zone{"fes", "meknes", "tangier", "tetouan"} {
			n.add(zone, 4)
		}
		n.until("all know all", 15*time.Second, n.whole)
		n.run(3*time.Second + time.Duration(seed)*130*time.Millisecond)
		dead := n.nodes[int(seed)%len(n.nodes)]
		dead.down = true
		times = append(times, n.until("dead everywhere", 30*time.Second, func() bool {
			return n.everyone(dead.self.Host, mesh.Dead)
		}))
	}
	slices.Sort(times)
	t.Logf("median %v, 9 in 10 within %v, most %v", times[20], times[36], times[39])
}

// TestMeasureWrongDeaths prints how often members are wrongly declared gone
// under loss and pauses.
func TestMeasureWrongDeaths(t *testing.T) {
	if !*measure {
		t.Skip("give -measure")
	}
	for _, loss := range []float64{0, 0.1, 0.2} {
		n := newNetwork(t, uint64(1000*loss)+1)
		for zone := range 3 {
			n.add(mesh.Zone(fmt.Sprintf("zone-%02d", zone)), 20)
		}
		n.until("all know all", 15*time.Second, n.whole)
		n.loss = loss
		for range 300 {
			h := n.nodes[n.random.IntN(len(n.nodes))]
			h.paused = true
			n.run(time.Second)
			h.paused = false
		}
		t.Logf("loss %.0f %%, 60 nodes, 300 pauses of 1 s in 300 s: suspected %d, contradicted %d, declared gone %d, zones unreachable %d; %d bytes a second sent by a node",
			100*loss, n.count(controllers.EventSuspected), n.count(controllers.EventContradicted),
			n.count(controllers.EventDeclaredGone), n.count(controllers.EventZoneUnreachable), n.bytes/60/300)
	}
}
