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

// measure enables the measurements of docs/MEASUREMENTS.md. They assert nothing
// and are slow.
var measure = flag.Bool("measure", false, "measure the cost and speed of membership")

const steadyDuration = 30 * time.Second

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMeasureCostByFleetSize prints the traffic, CPU time and memory of a node for
// several fleet sizes.
func TestMeasureCostByFleetSize(t *testing.T) {
	if !*measure {
		t.Skip("measurement: needs the flag -measure")
	}
	for _, size := range []int{5, 10, 30, 93} {
		t.Run(fmt.Sprint(10*size), func(t *testing.T) { measureFleet(t, size) })
	}
}

func measureFleet(t *testing.T, perZone int) {
	empty := heapBytes()
	n := newNetwork(t, uint64(perZone))
	for zone := range 10 {
		n.add(mesh.Zone(fmt.Sprintf("zone-%02d", zone)), perZone)
	}
	joined := n.runUntil("every node sees every node alive", 60*time.Second, n.converged)
	size := len(n.nodes)
	t.Logf("%d nodes: joined within %v, %d appends, %d bytes sent by a node", size, joined, len(n.appends), n.bytes/size)
	n.run(20 * time.Second)
	for _, h := range n.nodes {
		h.bytes = 0
	}
	n.bytes, n.packets = 0, 0
	cpu := cpuTime()
	n.run(steadyDuration)
	used := cpuTime() - cpu
	var traffic []int
	for _, h := range n.nodes {
		traffic = append(traffic, h.bytes/int(steadyDuration.Seconds()))
	}
	slices.Sort(traffic)
	seconds := int(steadyDuration.Seconds())
	t.Logf("steady state: %d datagrams and %d bytes sent a second by a node; sent and received, median %d, most %d bytes a second",
		n.packets/size/seconds, n.bytes/size/seconds, traffic[size/2], traffic[size-1])
	t.Logf("CPU time of a node, including the simulated network: %v a second", used/time.Duration(size*seconds))
	t.Logf("heap: %d bytes for each member at each node", (heapBytes()-empty)/uint64(size*size))
	measureFailureDetection(t, n)
	runtime.KeepAlive(n)
}

// measureFailureDetection stops one node after the other and prints how long it took until
// each was dead everywhere, and the traffic meanwhile.
func measureFailureDetection(t *testing.T, n *network) {
	var times []time.Duration
	sent := n.bytes
	start := n.clock.Now()
	const failures = 8
	for i := range failures {
		dead := n.nodes[(i*37+3)%len(n.nodes)]
		dead.down = true
		times = append(times, n.runUntil("dead everywhere", 30*time.Second, func() bool {
			return n.allSee(dead.self.Host, mesh.Dead)
		}))
	}
	slices.Sort(times)
	span := n.clock.Now().Sub(start).Seconds()
	t.Logf("%d failures: known everywhere after %v; %.0f bytes a second sent by a node meanwhile",
		failures, times, float64(n.bytes-sent)/float64(len(n.nodes))/span)
}

// TestMeasureFailureDetectionTime prints how long it takes over many seeds until a
// stopped node is dead everywhere.
func TestMeasureFailureDetectionTime(t *testing.T) {
	if !*measure {
		t.Skip("measurement: needs the flag -measure")
	}
	var times []time.Duration
	for seed := range uint64(40) {
		n := newNetwork(t, 100+seed)
		for _, zone := range []mesh.Zone{"fes", "meknes", "tangier", "tetouan"} {
			n.add(zone, 4)
		}
		n.runUntil("every node sees every node alive", 15*time.Second, n.converged)
		n.run(3*time.Second + time.Duration(seed)*130*time.Millisecond)
		dead := n.nodes[int(seed)%len(n.nodes)]
		dead.down = true
		times = append(times, n.runUntil("dead everywhere", 30*time.Second, func() bool {
			return n.allSee(dead.self.Host, mesh.Dead)
		}))
	}
	slices.Sort(times)
	t.Logf("median %v, 9 in 10 within %v, most %v", times[20], times[36], times[39])
}

// TestMeasureFalsePositives prints how often running members are suspected and
// declared gone under loss and pauses.
func TestMeasureFalsePositives(t *testing.T) {
	if !*measure {
		t.Skip("measurement: needs the flag -measure")
	}
	for _, loss := range []float64{0, 0.1, 0.2} {
		n := newNetwork(t, uint64(1000*loss)+1)
		for zone := range 3 {
			n.add(mesh.Zone(fmt.Sprintf("zone-%02d", zone)), 20)
		}
		n.runUntil("every node sees every node alive", 15*time.Second, n.converged)
		n.loss = loss
		for range 300 {
			h := n.nodes[n.random.IntN(len(n.nodes))]
			h.paused = true
			n.run(time.Second)
			h.paused = false
		}
		t.Logf("loss %.0f %%, 60 nodes, 300 pauses of 1 s in 300 s: suspected %d, refuted %d, declared gone %d, zones unreachable %d; %d bytes a second sent by a node",
			100*loss, n.eventCount(controllers.EventSuspected), n.eventCount(controllers.EventRefuted),
			n.eventCount(controllers.EventDeclaredGone), n.eventCount(controllers.EventZoneUnreachable), n.bytes/60/300)
	}
}
