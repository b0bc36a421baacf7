// Package convergence measures how long a release takes until it is in force on
// every node, and what the distribution costs in bytes and in requests to the
// platform. The nodes' own code runs on a simulated fleet: a virtual clock, the
// stand-in of the platform's log, and a queue in place of the network. The same
// seed gives the same figures.
package convergence

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/internal/stepped"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// httpOverheadBytes is the size of the header lines of one twirp request and
	// its response between nodes.
	httpOverheadBytes  = 365
	networkDelay       = time.Millisecond
	settleTime         = 20 * time.Second // after the first version, before the measurements
	idlePeriod         = time.Minute
	changeInterval     = 5 * time.Second
	convergenceTimeout = time.Minute
)

// Scheme is a way to distribute the configuration.
type Scheme string

// The schemes.
const (
	// Tree: selected nodes in each zone read the platform's log, and the others
	// pull from them in a tree.
	Tree Scheme = "tree"
	// AllReaders: every node reads the platform's log.
	AllReaders Scheme = "all_tail"
)

// Result holds the figures of one fleet size and scheme. P50Millis, P99Millis
// and MaxMillis are measured from the append of a release until it is in force on
// the last node.
type Result struct {
	Scheme Scheme `json:"scheme"`
	Nodes  int    `json:"nodes"`
	Zones  int    `json:"zones"`
	Seed   uint64 `json:"seed"`
	// Changes is the number of changes that were timed.
	Changes   int     `json:"changes"`
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	MaxMillis float64 `json:"max_ms"`
	// IdleBytesPerNodeSecond is the mean number of bytes that a node sends and
	// receives for the distribution in a second without changes.
	// BusiestNodeIdleBytesPerSecond is the number for the node that serves the
	// most bytes.
	IdleBytesPerNodeSecond        float64 `json:"idle_bytes_per_node_s"`
	BusiestNodeIdleBytesPerSecond float64 `json:"idle_bytes_busiest_node_s"`
	// ChangeBytesPerNode is the mean number of bytes that a node sends and receives
	// for one change of three records. BusiestNodeChangeBytes is the number for the
	// node that serves the most bytes.
	ChangeBytesPerNode     float64 `json:"change_bytes_per_node"`
	BusiestNodeChangeBytes float64 `json:"change_bytes_busiest_node"`
	// PlatformReadsPerSecond is the number of reads from the platform in a second
	// without changes.
	PlatformReadsPerSecond float64 `json:"platform_reads_per_s"`
	// RestartSeconds is the time until a tenth of the fleet, restarted at once,
	// has the version in force again. RestartPlatformReads is the number of reads
	// from the platform meanwhile.
	RestartSeconds       float64 `json:"herd_s"`
	RestartPlatformReads int     `json:"herd_platform_reads"`
}

// measurement is a simulated fleet and the state that its log produces.
type measurement struct {
	fleet *stepped.Fleet
	state change.State
	zones int
}

// Measure measures one scheme with a fleet of the given number of nodes,
// distributed evenly over the zones. It times the given number of changes, at least 1. It
// returns an error if a version or a restarted node does not converge within a
// minute.
func Measure(scheme Scheme, nodes, zones, changes int, seed uint64) (Result, error) {
	options := stepped.Options{Seed: seed, MinDelay: networkDelay}
	if scheme == AllReaders {
		options.Distribution = distribution.Config{Readers: nodes}
	}
	m := &measurement{fleet: stepped.New(options), zones: zones}
	for i := range nodes {
		m.startNode(i)
	}
	m.fleet.UpdateMembership()
	result := Result{Scheme: scheme, Nodes: nodes, Zones: zones, Seed: seed, Changes: changes}
	if err := m.measureChanges(&result, 1); err != nil { // the first version
		return result, err
	}
	m.fleet.RunFor(settleTime)
	m.measureIdle(&result)
	if err := m.measureChanges(&result, changes); err != nil {
		return result, err
	}
	return result, m.measureRestart(&result)
}

func (m *measurement) startNode(i int) {
	zone := fmt.Sprintf("zone-%d", i%m.zones)
	m.fleet.StartNode(mesh.HostID(fmt.Sprintf("host-%d", i)), mesh.Zone(zone), mesh.Region(fmt.Sprintf("region-%d", i%m.zones%3)))
}

func (m *measurement) resetTraffic() {
	m.fleet.Traffic = stepped.Traffic{ServedPullBytes: make(map[mesh.HostID]int), ServedPulls: make(map[mesh.HostID]int)}
}

// trafficBytes returns the bytes that nodes exchanged since resetTraffic: the
// mean of all nodes, counting each exchange at both ends, and the maximum that
// one node exchanged as the server.
func (m *measurement) trafficBytes() (mean, busiest float64) {
	t := m.fleet.Traffic
	for host, size := range t.ServedPullBytes {
		busiest = max(busiest, float64(size+t.ServedPulls[host]*httpOverheadBytes))
	}
	total := t.PullBytes + t.Pulls*httpOverheadBytes
	return 2 * float64(total) / float64(len(m.fleet.Nodes)), busiest
}

func (m *measurement) measureIdle(result *Result) {
	m.resetTraffic()
	m.fleet.RunFor(idlePeriod)
	mean, busiest := m.trafficBytes()
	result.IdleBytesPerNodeSecond = mean / idlePeriod.Seconds()
	result.BusiestNodeIdleBytesPerSecond = busiest / idlePeriod.Seconds()
	result.PlatformReadsPerSecond = float64(m.fleet.Traffic.LogReads) / idlePeriod.Seconds()
}

// measureChanges releases count changes one after another and measures each
// until it is in force on all nodes.
func (m *measurement) measureChanges(result *Result, count int) error {
	m.resetTraffic()
	var times []float64
	for range count {
		before := m.fleet.Clock.Now()
		if err := m.releaseChange(); err != nil {
			return err
		}
		if !m.fleet.RunUntil(convergenceTimeout, m.converged) {
			return eris.Errorf("version %d is not in force on all nodes after %s", m.state.Version, convergenceTimeout)
		}
		times = append(times, float64(m.fleet.Clock.Now().Sub(before).Microseconds())/1000)
		m.fleet.RunFor(changeInterval)
	}
	slices.Sort(times)
	result.P50Millis = times[len(times)/2]
	result.P99Millis = times[len(times)*99/100]
	result.MaxMillis = times[len(times)-1]
	mean, busiest := m.trafficBytes()
	result.ChangeBytesPerNode, result.BusiestNodeChangeBytes = mean/float64(count), busiest/float64(count)
	return nil
}

// converged reports whether the last released version is in force on all nodes.
func (m *measurement) converged() bool {
	for _, n := range m.fleet.Nodes {
		if n.Version() != m.state.Version {
			return false
		}
	}
	return true
}

// measureRestart restarts a tenth of the fleet, at least one node, at once and
// measures until all nodes have converged.
func (m *measurement) measureRestart(result *Result) error {
	m.resetTraffic()
	for i := range max(len(m.fleet.Nodes)/10, 1) {
		m.startNode(i)
	}
	before := m.fleet.Clock.Now()
	m.fleet.UpdateMembership()
	if !m.fleet.RunUntil(convergenceTimeout, m.converged) {
		return eris.Errorf("restarted nodes do not serve the version in force after %s", convergenceTimeout)
	}
	result.RestartSeconds = m.fleet.Clock.Now().Sub(before).Seconds()
	result.RestartPlatformReads = m.fleet.Traffic.LogReads
	return nil
}

// releaseChange appends the proposal, the approval and the release of a change
// that adds a host.
func (m *measurement) releaseChange() error {
	id := fmt.Sprintf("change-%d", m.state.Offset)
	edits := mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}},
		PutHosts:    []mesh.Host{{ID: mesh.HostID(id), Zone: "zone-0", Service: "desk"}},
	}
	operator := change.Principal{Name: "op", Role: change.Operator}
	customer := change.Principal{Name: "cu", Role: change.CustomerRole, Customer: "menders"}
	propose := change.Record{ID: id, Kind: change.Propose, Author: operator, Proposal: id, Base: m.state.Version, Edits: &edits}
	if err := m.append(propose); err != nil {
		return err
	}
	digest := m.state.Proposals[id].Digest
	if err := m.append(change.Record{ID: id + "-a", Kind: change.Approve, Author: customer, Proposal: id, Digest: digest}); err != nil {
		return err
	}
	return m.append(change.Record{ID: id + "-r", Kind: change.Release, Author: operator, Proposal: id, Digest: digest})
}

// append appends a record to the log and applies it to the state.
func (m *measurement) append(c change.Record) error {
	data, err := record.EncodeChange(c)
	if err != nil {
		return err
	}
	offset := m.fleet.Append(eventlog.ConfigStream, data)
	state, outcome := m.state.Apply(offset, c)
	m.state = state
	if !outcome.Accepted {
		return eris.Errorf("apply record %s: refused: %s", c.ID, outcome.Refusal)
	}
	return nil
}
