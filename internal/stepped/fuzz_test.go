package stepped_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/internal/stepped"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// retainedRecords is the number of records that the log retains. The test makes
// no release while maxRecordsSinceSnapshot or more records follow the newest
// snapshot, since the log would drop records that no snapshot covers.
const (
	retainedRecords         = 60
	maxRecordsSinceSnapshot = 40
)

// machine applies random operations and faults to a fleet and compares the nodes
// with the state that operators computes.
type machine struct {
	*operators
	zone                map[mesh.HostID]mesh.Zone
	maxServed           map[mesh.HostID]mesh.Version // the highest version that each host served, over all restarts
	lastChecked         map[mesh.HostID]mesh.Version // the version last compared with the expected one
	platformPartitioned map[mesh.Zone]bool           // zones that cannot reach the platform
	zonePartitioned     map[mesh.Zone]bool           // zones that cannot reach other zones
	failure             string
}

func newMachine(t *testing.T, seed uint64, loss float64) *machine {
	f := stepped.New(stepped.Options{
		Seed: seed, MinDelay: 2 * time.Millisecond,
		LogOptions: standin.Options{MaxRecords: retainedRecords},
		Snapshots:  snapshot.Policy{RecordInterval: 10, MaxAge: time.Minute, Stagger: 2 * time.Second},
	})
	m := &machine{
		operators:           newOperators(t, f),
		zone:                make(map[mesh.HostID]mesh.Zone),
		maxServed:           make(map[mesh.HostID]mesh.Version),
		lastChecked:         make(map[mesh.HostID]mesh.Version),
		platformPartitioned: make(map[mesh.Zone]bool),
		zonePartitioned:     make(map[mesh.Zone]bool),
	}
	f.Partitioned = m.isPartitioned
	f.LossRate = loss
	startZones(f, zones[:3], 4)
	for host, n := range f.Nodes {
		m.zone[host] = n.Member.Zone
	}
	m.run(3 * time.Second)
	return m
}

func (m *machine) isPartitioned(from, to mesh.HostID) bool {
	if to == "" {
		return m.platformPartitioned[m.zone[from]]
	}
	a, b := m.zone[from], m.zone[to]
	return a != b && (m.zonePartitioned[a] || m.zonePartitioned[b])
}

// run advances the simulation by d and checks the invariants after each event;
// it stops at the first failure.
func (m *machine) run(d time.Duration) {
	m.fleet.RunUntil(d, func() bool {
		m.check()
		return m.failure != ""
	})
}

// check verifies for every node that its version is not below one that its host
// served before, and that it serves the complete configuration of a released
// version.
func (m *machine) check() {
	for host, n := range m.fleet.Nodes {
		version := n.Version()
		if version == 0 || version == m.lastChecked[host] {
			continue
		}
		m.lastChecked[host] = version
		if version < m.maxServed[host] {
			m.failure = "version decreased at " + string(host)
		}
		m.maxServed[host] = version
		want, released := m.configs[version]
		got := n.Tables.Routes.Load().Config
		if !released || !maps.Equal(want.Hosts, got.Hosts) || !maps.Equal(want.Services, got.Services) {
			m.failure = "not a released configuration at " + string(host)
		}
	}
}

// canStop reports whether, with one node stopped, every host that has to determine
// its version floor still has a peer with the version that it served. The system
// does not guard against the loss of the last such peer while the log is
// unreachable.
func (m *machine) canStop(stopped mesh.HostID) bool {
	for host, version := range m.maxServed {
		n, running := m.fleet.Nodes[host]
		if running && host != stopped && n.Version() >= version {
			continue
		}
		if !m.hasFloorPeer(host, stopped, version) {
			return false
		}
	}
	return true
}

// hasFloorPeer reports whether host requests its floor from a peer, other than
// the stopped one, that has the version.
func (m *machine) hasFloorPeer(host, stopped mesh.HostID, version mesh.Version) bool {
	n, running := m.fleet.Nodes[host]
	for other, peer := range m.fleet.Nodes {
		if other == host || other == stopped || m.zone[other] != m.zone[host] {
			continue
		}
		hasVersion := peer.Tables.Floor.Load().Known && peer.Tables.Changes.Load().Version >= version
		isRequested := !running || host == stopped || slices.ContainsFunc(n.Tables.Role.Load().FloorPeers, func(s distribution.Peer) bool {
			return s.Host == other
		})
		if hasVersion && isRequested {
			return true
		}
	}
	return false
}

func (m *machine) restart(host mesh.HostID) {
	if !m.canStop(host) {
		return
	}
	delete(m.lastChecked, host)
	m.fleet.StartNode(host, m.zone[host], "morocco")
}

// recordsSinceSnapshot is the number of records after the newest snapshot in the log.
func (m *machine) recordsSinceSnapshot() uint64 {
	var snapshotted uint64
	for _, n := range m.fleet.Nodes {
		snapshotted = max(snapshotted, n.Tables.SnapshotCatalog.Load().Newest.Offset)
	}
	return m.state.Offset - snapshotted
}

func (m *machine) heal() {
	m.fleet.LossRate, m.fleet.CorruptionRate = 0, 0
	clear(m.platformPartitioned)
	clear(m.zonePartitioned)
	m.fleet.Log.SetFaults(standin.Faults{})
	m.fleet.UpdateMembership()
}

// TestFuzzVersionsNeverDecreaseAndAllConverge applies releases, restarts with
// empty tables, platform outages, partitions, message loss, corrupted pull answers and
// stale membership in random order. A host that serves a version below an earlier
// one, serves anything but a released configuration, or does not converge after
// all faults are removed fails the test.
func TestFuzzVersionsNeverDecreaseAndAllConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(rt, "loss")
		m := newMachine(t, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"), loss)
		m.fleet.CorruptionRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "corruption rate")
		hosts := slices.Sorted(maps.Keys(m.zone))
		host := rapid.SampledFrom(hosts)
		zone := rapid.SampledFrom(zones[:3])
		duration := rapid.SampledFrom([]time.Duration{time.Millisecond, 10 * time.Millisecond, time.Second, 15 * time.Second})
		rt.Repeat(map[string]func(*rapid.T){
			"release": func(*rapid.T) {
				if m.recordsSinceSnapshot() < maxRecordsSinceSnapshot {
					m.release()
				}
			},
			"restart":           func(rt *rapid.T) { m.restart(host.Draw(rt, "host")) },
			"update membership": func(*rapid.T) { m.fleet.UpdateMembership() },
			"platform outage": func(rt *rapid.T) {
				m.fleet.Log.SetFaults(standin.Faults{Down: rapid.Bool().Draw(rt, "down")})
			},
			"partition platform": func(rt *rapid.T) { z := zone.Draw(rt, "zone"); m.platformPartitioned[z] = !m.platformPartitioned[z] },
			"isolate zone":       func(rt *rapid.T) { z := zone.Draw(rt, "zone"); m.zonePartitioned[z] = !m.zonePartitioned[z] },
			"run":                func(rt *rapid.T) { m.run(duration.Draw(rt, "time")) },
			"": func(rt *rapid.T) {
				m.check()
				if m.failure != "" {
					rt.Fatal(m.failure)
				}
			},
		})
		m.heal()
		healed := m.fleet.RunUntil(2*time.Minute, func() bool {
			m.check()
			return m.failure != "" || allServe(m.fleet, m.state.Version)()
		})
		if m.failure != "" || !healed {
			rt.Fatalf("after healing: %q, converged %v, %v", m.failure, healed, m.fleet.EventCounts)
		}
		must.Eq(t, m.state.Version, m.newestVersion())
	})
}

// newestVersion returns the expected version. It first checks that the log's
// newest offset is that of the expected state.
func (m *machine) newestVersion() mesh.Version {
	bounds, err := m.fleet.Log.Bounds(context.Background(), eventlog.ConfigStream)
	must.NoError(m.t, err)
	must.Eq(m.t, m.state.Offset, bounds.Newest)
	return m.state.Version
}
