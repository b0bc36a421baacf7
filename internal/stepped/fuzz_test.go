package stepped_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/internal/stepped"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// keptRecords is what the fuzzed platform retains; releases pause when no
// snapshot reached the log for unsavedLimit records.
const (
	keptRecords  = 60
	unsavedLimit = 40
)

// machine drives a fleet through faults and compares it with the oracle.
type machine struct {
	*operators
	zone   map[mesh.HostID]mesh.Zone
	served map[mesh.HostID]mesh.Version // the highest that each host served, over its lives
	seen   map[mesh.HostID]mesh.Version // the version last compared with the oracle
	cut    map[mesh.Zone]bool           // zones cut from the platform
	apart  map[mesh.Zone]bool           // zones cut from the others
	fails  string
}

func newMachine(t *testing.T, seed uint64, loss float64) *machine {
	f := stepped.New(stepped.Options{
		Seed: seed, Delay: 2 * time.Millisecond,
		Log:       standin.Options{Records: keptRecords},
		Snapshots: snapshot.Policy{Records: 10, Every: time.Minute, Stagger: 2 * time.Second},
	})
	m := &machine{
		operators: newOperators(t, f),
		zone:      make(map[mesh.HostID]mesh.Zone),
		served:    make(map[mesh.HostID]mesh.Version),
		seen:      make(map[mesh.HostID]mesh.Version),
		cut:       make(map[mesh.Zone]bool),
		apart:     make(map[mesh.Zone]bool),
	}
	f.Cut = m.isCut
	f.Loss = loss
	start(f, zones[:3], 4)
	for host, n := range f.Nodes {
		m.zone[host] = n.Member.Zone
	}
	m.run(3 * time.Second)
	return m
}

func (m *machine) isCut(from, to mesh.HostID) bool {
	if to == "" {
		return m.cut[m.zone[from]]
	}
	a, b := m.zone[from], m.zone[to]
	return a != b && (m.apart[a] || m.apart[b])
}

// run lets time pass and checks the invariants after each event.
func (m *machine) run(d time.Duration) {
	m.fleet.RunUntil(d, func() bool {
		m.check()
		return m.fails != ""
	})
}

// check compares every node with the oracle: no version below what its host
// served, none but a released one, and the whole of it.
func (m *machine) check() {
	for host, n := range m.fleet.Nodes {
		version := n.Version()
		if version == 0 || version == m.seen[host] {
			continue
		}
		m.seen[host] = version
		if version < m.served[host] {
			m.fails = "version fell at " + string(host)
		}
		m.served[host] = version
		want, released := m.config[version]
		got := n.Tables.Routes.Load().Config
		if !released || !maps.Equal(want.Hosts, got.Hosts) || !maps.Equal(want.Services, got.Services) {
			m.fails = "not a released configuration at " + string(host)
		}
	}
}

// mayStop reports whether, with one node stopped, every host that has to learn
// its floor can still find a witness of what it served. A host whose last
// witness is gone while the log is out of reach is the case that is not
// guarded against.
func (m *machine) mayStop(stopped mesh.HostID) bool {
	for host, version := range m.served {
		n, runs := m.fleet.Nodes[host]
		if runs && host != stopped && n.Version() >= version {
			continue
		}
		if !m.hasWitness(host, stopped, version) {
			return false
		}
	}
	return true
}

func (m *machine) hasWitness(host, stopped mesh.HostID, version mesh.Version) bool {
	n, runs := m.fleet.Nodes[host]
	for other, witness := range m.fleet.Nodes {
		if other == host || other == stopped || m.zone[other] != m.zone[host] {
			continue
		}
		knows := witness.Tables.Floor.Load().Known && witness.Tables.Changes.Load().Version >= version
		asked := !runs || host == stopped || slices.ContainsFunc(n.Tables.Role.Load().Witnesses, func(s spread.Source) bool {
			return s.Host == other
		})
		if knows && asked {
			return true
		}
	}
	return false
}

func (m *machine) restart(host mesh.HostID) {
	if !m.mayStop(host) {
		return
	}
	delete(m.seen, host)
	m.fleet.Start(host, m.zone[host], "morocco")
}

// unsaved is the number of records after the newest snapshot in the log.
func (m *machine) unsaved() uint64 {
	var saved uint64
	for _, n := range m.fleet.Nodes {
		saved = max(saved, n.Tables.Shelf.Load().Best.Offset)
	}
	return m.state.Offset - saved
}

func (m *machine) heal() {
	m.fleet.Loss, m.fleet.Garbled = 0, 0
	clear(m.cut)
	clear(m.apart)
	m.fleet.Log.SetFaults(standin.Faults{})
	m.fleet.Tell()
}

// TestFuzzVersionsNeverFallAndAllConverge drives a fleet through releases,
// restarts without memory, outages of the platform, partitions, loss, changed
// bytes and stale membership.
func TestFuzzVersionsNeverFallAndAllConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(rt, "loss")
		m := newMachine(t, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"), loss)
		m.fleet.Garbled = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "garbled")
		hosts := slices.Sorted(maps.Keys(m.zone))
		host := rapid.SampledFrom(hosts)
		zone := rapid.SampledFrom(zones[:3])
		pause := rapid.SampledFrom([]time.Duration{time.Millisecond, 10 * time.Millisecond, time.Second, 15 * time.Second})
		rt.Repeat(map[string]func(*rapid.T){
			"release": func(*rapid.T) {
				if m.unsaved() < unsavedLimit {
					m.release()
				}
			},
			"restart": func(rt *rapid.T) { m.restart(host.Draw(rt, "host")) },
			"tell":    func(*rapid.T) { m.fleet.Tell() },
			"platform": func(rt *rapid.T) {
				m.fleet.Log.SetFaults(standin.Faults{Down: rapid.Bool().Draw(rt, "down")})
			},
			"cut":   func(rt *rapid.T) { z := zone.Draw(rt, "zone"); m.cut[z] = !m.cut[z] },
			"apart": func(rt *rapid.T) { z := zone.Draw(rt, "zone"); m.apart[z] = !m.apart[z] },
			"run":   func(rt *rapid.T) { m.run(pause.Draw(rt, "time")) },
			"": func(rt *rapid.T) {
				m.check()
				if m.fails != "" {
					rt.Fatal(m.fails)
				}
			},
		})
		m.heal()
		healed := m.fleet.RunUntil(2*time.Minute, func() bool {
			m.check()
			return m.fails != "" || inForce(m.fleet, m.state.Version)()
		})
		if m.fails != "" || !healed {
			rt.Fatalf("after healing: %q, converged %v, %v", m.fails, healed, m.fleet.Counts)
		}
		must.Eq(t, m.state.Version, m.newest())
	})
}

// newest folds the log's retained end: the oracle must not have drifted.
func (m *machine) newest() mesh.Version {
	bounds, err := m.fleet.Log.Bounds(context.Background(), eventlog.Config)
	must.NoError(m.t, err)
	must.Eq(m.t, m.state.Offset, bounds.Newest)
	return m.state.Version
}
