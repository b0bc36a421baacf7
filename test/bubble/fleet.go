// Package bubble runs whole fleets inside a synctest bubble, for tests only:
// real nodes on an in-memory network, with fakes of the platform's log and of
// the backend servers, in virtual time. Tests inject faults at any instant:
// hosts that die and restart, network partitions between zones and between a
// zone and the platform, and platform outages.
package bubble

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/internal/memnet"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

// The credentials and the customer of a fleet.
const (
	OperatorToken = "operator-secret-0001"
	CustomerToken = "customer-secret-0001"
	Customer      = mesh.Customer("menders")
)

const (
	linkLatency  = time.Millisecond
	backendSlots = 6
	// randomSeed seeds the network and every node.
	randomSeed = 1
	// eventuallyTimeout bounds, in virtual time, the wait of Eventually.
	eventuallyTimeout = 5 * time.Minute
)

// Fleet is a fake platform and a set of hosts. Create it inside a bubble and
// close it before the bubble's function returns.
type Fleet struct {
	t        *testing.T
	Network  *memnet.Net
	Store    *standin.Store
	Hosts    map[mesh.HostID]*Host
	platform *partitionedLog // Store, with per-zone reachability
	client   *http.Transport
}

// Host is one host: its backend server and its node, which Kill, Stop and Start
// end and start again.
type Host struct {
	ID      mesh.HostID
	Zone    mesh.Zone
	Service mesh.ServiceName
	IP      string
	Backend *Backend
	Node    *node.Node
	Metrics *metrics.Metrics
	stop    context.CancelFunc // nil while the node is not running
	ended   chan struct{}
}

// NewFleet returns a fleet without hosts.
func NewFleet(t *testing.T) *Fleet {
	f := &Fleet{
		t:       t,
		Network: memnet.New(linkLatency, randomSeed),
		Store:   standin.New(clock.System{}, standin.Options{AppendsPerSecond: 300}),
		Hosts:   make(map[mesh.HostID]*Host),
	}
	f.platform = &partitionedLog{Log: f.Store, partitioned: make(map[mesh.Zone]bool)}
	f.client = &http.Transport{DialContext: f.Network.Host(clientIP).DialContext}
	return f
}

// clientIP is the source address of the requests of callers and operators.
const clientIP = "10.255.0.1"

// closeDelay is longer than any dial or timer that outlives its node.
const closeDelay = 10 * time.Second

// Close stops every host; call it before the bubble's function returns. It waits
// for dials that a transport continues after their request has ended, because a
// bubble must not end before all goroutines started in it.
func (f *Fleet) Close() {
	f.Network.SetPartition(nil)
	for _, h := range f.Hosts {
		h.stopNode()
		h.Backend.close()
	}
	time.Sleep(closeDelay)
	for _, h := range f.Hosts {
		f.Network.KillHost(h.IP)
	}
	f.client.CloseIdleConnections()
	f.Network.KillHost(clientIP)
}

// Add starts a new host's backend server and node.
func (f *Fleet) Add(id mesh.HostID, zone mesh.Zone, service mesh.ServiceName) *Host {
	f.t.Helper()
	h := &Host{ID: id, Zone: zone, Service: service, IP: f.nextIP(zone)}
	f.Hosts[id] = h
	h.Backend = startBackend(f.t, f.Network.Host(h.IP), string(id))
	f.Start(id)
	return h
}

// nextIP returns the address of the next host in a zone: 10.<zone>.0.<host>.
func (f *Fleet) nextIP(zone mesh.Zone) string {
	zoneNumbers := map[mesh.Zone]int{}
	for _, h := range f.Hosts {
		if _, found := zoneNumbers[h.Zone]; !found {
			zoneNumbers[h.Zone] = zoneNumber(h.IP)
		}
	}
	number, found := zoneNumbers[zone]
	if !found {
		number = len(zoneNumbers) + 1
	}
	return fmt.Sprintf("10.%d.0.%d", number, len(f.Hosts)+1)
}

func zoneNumber(ip string) (number int) {
	fmt.Sscanf(ip, "10.%d.", &number)
	return number
}

// Start starts the node of a host that was added, killed or stopped. The node
// starts without any state of an earlier run.
func (f *Fleet) Start(id mesh.HostID) {
	f.t.Helper()
	h := f.Hosts[id]
	must.Nil(f.t, h.stop, must.Sprintf("node of %s is already running", id))
	checked, err := settings.Parse(f.settingsJSON(h))
	must.NoError(f.t, err)
	h.Metrics = metrics.New(tally.NoopScope)
	h.Node, err = node.New(node.Options{
		Settings: checked,
		Log:      f.platform.viewFrom(h.Zone),
		Network:  f.Network.Host(h.IP),
		Clock:    clock.System{},
		Seed:     randomSeed,
		Board:    blackboard.New(blackboard.PanicOnNested()),
		Metrics:  h.Metrics,
	})
	must.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		// Run can return an error after Kill has closed the node's ports.
		_ = h.Node.Run(ctx)
	}()
}

func (f *Fleet) settingsJSON(h *Host) []byte {
	at := func(port string) string { return h.IP + ":" + port }
	data, err := json.Marshal(map[string]any{
		"host":     h.ID,
		"zone":     h.Zone,
		"listen":   map[string]string{"callers": at("7100"), "peers": at("7200"), "operators": at("7300")},
		"backend":  map[string]any{"service": h.Service, "address": at(backendPort), "slots": backendSlots},
		"platform": map[string]string{"url": "http://10.254.0.1:7000"},
		"credentials": []map[string]any{
			{"name": "op", "role": change.Operator, "token": OperatorToken},
			{"name": "cu", "role": change.CustomerRole, "customer": Customer, "token": CustomerToken},
		},
	})
	must.NoError(f.t, err)
	return data
}

// Kill simulates a crash of a host. It closes the host's ports and
// connections before it stops the node, so that the node cannot announce that
// it leaves; the node's memory is lost. The backend server restarts
// immediately.
func (f *Fleet) Kill(id mesh.HostID) {
	f.Network.KillHost(f.Hosts[id].IP)
	f.Hosts[id].stopNode()
	f.Hosts[id].Backend.restart(f.t, f.Network.Host(f.Hosts[id].IP))
}

// stopNode stops the node and waits until it has ended. It does nothing when
// the node is not running.
func (h *Host) stopNode() {
	if h.stop == nil {
		return
	}
	h.stop()
	<-h.ended
	h.stop = nil
}

// Stop stops a host's node as SIGTERM does and waits until it has ended.
func (f *Fleet) Stop(id mesh.HostID) { f.Hosts[id].stopNode() }

// PartitionZones partitions each of the given zones from all other zones and from
// the platform; hosts within a zone still reach each other, and clients reach
// every host. It replaces earlier partitions; without arguments it heals them all.
func (f *Fleet) PartitionZones(zones ...mesh.Zone) {
	isolated := make(map[int]bool)
	f.platform.setPartitionedZones(zones)
	for _, h := range f.Hosts {
		for _, z := range zones {
			if h.Zone == z {
				isolated[zoneNumber(h.IP)] = true
			}
		}
	}
	f.Network.SetPartition(func(from, to string) bool {
		a, b := zoneNumber(from), zoneNumber(to)
		isClient := from == clientIP || to == clientIP
		return a != b && !isClient && (isolated[a] || isolated[b])
	})
}

// PartitionPlatform partitions the given zones from the platform only. It replaces
// earlier partitions from the platform.
func (f *Fleet) PartitionPlatform(zones ...mesh.Zone) { f.platform.setPartitionedZones(zones) }
