// Package bubble runs whole fleets inside a synctest bubble: real nodes over a
// network in memory, stand-ins of the platform and of backend servers, and
// virtual time. Faults can be brought about at any instant: hosts that die and
// return, cuts between zones, outages of the platform.
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
	linkLatency = time.Millisecond
	slots       = 6
	seed        = 1
	// patience bounds, in virtual time, waits that have no bound of their own.
	patience = 5 * time.Minute
)

// Fleet is the platform and some hosts. Make it inside a bubble.
type Fleet struct {
	t       *testing.T
	Network *memnet.Net
	Store   *standin.Store
	Hosts   map[mesh.HostID]*Host
	// cutOff has the zones that cannot reach the platform.
	platform *zonedLog
	client   *http.Transport
}

// Host is one host: its backend server and, while it lives, its node.
type Host struct {
	ID      mesh.HostID
	Zone    mesh.Zone
	Service mesh.ServiceName
	IP      string
	Backend *Backend
	Node    *node.Node
	Metrics *metrics.Metrics
	stop    context.CancelFunc
	ended   chan struct{}
}

// NewFleet returns a fleet without hosts; it is taken down when the test ends.
func NewFleet(t *testing.T) *Fleet {
	f := &Fleet{
		t:       t,
		Network: memnet.New(linkLatency, seed),
		Store:   standin.New(clock.System{}, standin.Options{AppendsPerSecond: 300}),
		Hosts:   make(map[mesh.HostID]*Host),
	}
	f.platform = &zonedLog{Log: f.Store, cutOff: make(map[mesh.Zone]bool)}
	f.client = &http.Transport{DialContext: f.Network.Host(clientIP).DialContext}
	return f
}

// clientIP is where callers and operators call from.
const clientIP = "10.255.0.1"

// drainTime is longer than any dial or timer that outlives its node.
const drainTime = 10 * time.Second

// Close ends every host; call it before the bubble's function returns. Dials
// that a transport goes on with after their request has ended are waited for:
// a bubble must not end before all that it began.
func (f *Fleet) Close() {
	f.Network.SetCut(nil)
	for _, h := range f.Hosts {
		h.kill()
		h.Backend.close()
	}
	time.Sleep(drainTime)
	for _, h := range f.Hosts {
		f.Network.Kill(h.IP)
	}
	f.client.CloseIdleConnections()
	f.Network.Kill(clientIP)
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

// nextIP numbers hosts by zone: 10.<zone>.0.<host>.
func (f *Fleet) nextIP(zone mesh.Zone) string {
	zones := map[mesh.Zone]int{}
	for _, h := range f.Hosts {
		if _, found := zones[h.Zone]; !found {
			zones[h.Zone] = zoneNumber(h.IP)
		}
	}
	number, found := zones[zone]
	if !found {
		number = len(zones) + 1
	}
	return fmt.Sprintf("10.%d.0.%d", number, len(f.Hosts)+1)
}

func zoneNumber(ip string) (number int) {
	fmt.Sscanf(ip, "10.%d.", &number)
	return number
}

// Start starts a host's node, anew after Kill.
func (f *Fleet) Start(id mesh.HostID) {
	f.t.Helper()
	h := f.Hosts[id]
	must.Nil(f.t, h.stop, must.Sprintf("%s runs already", id))
	checked, err := settings.Parse(f.settingsOf(h))
	must.NoError(f.t, err)
	h.Metrics = metrics.New(tally.NoopScope)
	h.Node, err = node.New(node.Options{
		Settings: checked,
		Log:      f.platform.from(h.Zone),
		Network:  f.Network.Host(h.IP),
		Clock:    clock.System{},
		Seed:     seed,
		Board:    blackboard.New(blackboard.CheckOrder()),
		Metrics:  h.Metrics,
	})
	must.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		// A node whose ports were killed under it may end with an error.
		_ = h.Node.Run(ctx)
	}()
}

func (f *Fleet) settingsOf(h *Host) []byte {
	at := func(port string) string { return h.IP + ":" + port }
	data, err := json.Marshal(map[string]any{
		"host":     h.ID,
		"zone":     h.Zone,
		"listen":   map[string]string{"callers": at("7100"), "peers": at("7200"), "operators": at("7300")},
		"backend":  map[string]any{"service": h.Service, "address": at(backendPort), "slots": slots},
		"platform": map[string]string{"url": "http://10.254.0.1:7000"},
		"credentials": []map[string]any{
			{"name": "op", "role": change.Operator, "token": OperatorToken},
			{"name": "cu", "role": change.CustomerRole, "customer": Customer, "token": CustomerToken},
		},
	})
	must.NoError(f.t, err)
	return data
}

// Kill ends a host's node as its sudden death would: its ports and connections
// end first, so that nothing is said in farewell, and its memory is lost.
func (f *Fleet) Kill(id mesh.HostID) {
	f.Network.Kill(f.Hosts[id].IP)
	f.Hosts[id].kill()
	f.Hosts[id].Backend.restart(f.t, f.Network.Host(f.Hosts[id].IP))
}

func (h *Host) kill() {
	if h.stop == nil {
		return
	}
	h.stop()
	<-h.ended
	h.stop = nil
}

// Stop asks a host's node to stop, as SIGTERM does, and waits for its end.
func (f *Fleet) Stop(id mesh.HostID) { f.Hosts[id].kill() }

// CutZones parts the zones named from all others, and from the platform; each
// keeps its own hosts together. Without zones it heals everything.
func (f *Fleet) CutZones(zones ...mesh.Zone) {
	alone := make(map[int]bool)
	f.platform.reach(zones)
	for _, h := range f.Hosts {
		for _, z := range zones {
			if h.Zone == z {
				alone[zoneNumber(h.IP)] = true
			}
		}
	}
	f.Network.SetCut(func(from, to string) bool {
		a, b := zoneNumber(from), zoneNumber(to)
		fromClient := from == clientIP || to == clientIP
		return a != b && !fromClient && (alone[a] || alone[b])
	})
}

// CutPlatform parts the zones named from the platform only.
func (f *Fleet) CutPlatform(zones ...mesh.Zone) { f.platform.reach(zones) }
