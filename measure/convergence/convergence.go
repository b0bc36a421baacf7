// Package convergence measures how fast a release is in force everywhere, and
// what that costs, with the nodes' own code over a stepped fleet: a virtual
// clock, the platform's stand-in, and a queue in place of the network. The
// same seed gives the same figures.
package convergence

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/internal/stepped"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// httpBytes is what HTTP adds to one exchange between nodes: the header
	// lines of a twirp request and its answer.
	httpBytes = 365
	delay     = time.Millisecond
	settling  = 20 * time.Second
	idleTime  = time.Minute
	between   = 5 * time.Second
	patience  = time.Minute
)

// Scheme is a way of distribution.
type Scheme string

// The schemes.
const (
	// Tree: ranked readers in each zone, the others below them.
	Tree Scheme = "tree"
	// AllTail: every node reads the platform's log.
	AllTail Scheme = "all_tail"
)

// Result is what came of one size and scheme. Times are in milliseconds, from
// the append of the release until it is in force on the last node.
type Result struct {
	Scheme  Scheme  `json:"scheme"`
	Nodes   int     `json:"nodes"`
	Zones   int     `json:"zones"`
	Seed    uint64  `json:"seed"`
	Changes int     `json:"changes"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
	// IdleBytes is what a node sends and receives for the distribution in a
	// second without changes; BusiestIdleBytes that of the node asked most.
	IdleBytes        float64 `json:"idle_bytes_per_node_s"`
	BusiestIdleBytes float64 `json:"idle_bytes_busiest_node_s"`
	// ChangeBytes is the cost of one change of three records at a node.
	ChangeBytes        float64 `json:"change_bytes_per_node"`
	BusiestChangeBytes float64 `json:"change_bytes_busiest_node"`
	// PlatformReads is requests to the platform in a second without changes.
	PlatformReads float64 `json:"platform_reads_per_s"`
	// HerdSeconds is how long a tenth of the fleet takes to be back.
	HerdSeconds float64 `json:"herd_s"`
	HerdReads   int     `json:"herd_platform_reads"`
}

// run is one fleet under measurement.
type run struct {
	fleet *stepped.Fleet
	state change.State
	zones int
}

// Measure runs one size and scheme.
func Measure(scheme Scheme, nodes, zones, changes int, seed uint64) (Result, error) {
	options := stepped.Options{Seed: seed, Delay: delay}
	if scheme == AllTail {
		options.Spread = spread.Config{Readers: nodes}
	}
	r := &run{fleet: stepped.New(options), zones: zones}
	for i := range nodes {
		r.start(i)
	}
	r.fleet.Tell()
	result := Result{Scheme: scheme, Nodes: nodes, Zones: zones, Seed: seed, Changes: changes}
	if err := r.changes(&result, 1); err != nil { // the first version
		return result, err
	}
	r.fleet.Run(settling)
	r.idle(&result)
	if err := r.changes(&result, changes); err != nil {
		return result, err
	}
	return result, r.herd(&result)
}

func (r *run) start(i int) {
	zone := fmt.Sprintf("zone-%d", i%r.zones)
	r.fleet.Start(mesh.HostID(fmt.Sprintf("host-%d", i)), mesh.Zone(zone), mesh.Region(fmt.Sprintf("region-%d", i%r.zones%3)))
}

func (r *run) reset() {
	r.fleet.Traffic = stepped.Traffic{Asked: make(map[mesh.HostID]int), AskedTimes: make(map[mesh.HostID]int)}
}

// bytes returns what the average and the busiest node moved since reset. Each
// exchange is counted at both ends.
func (r *run) bytes() (average, busiest float64) {
	t := r.fleet.Traffic
	for host, size := range t.Asked {
		busiest = max(busiest, float64(size+t.AskedTimes[host]*httpBytes))
	}
	total := t.PullBytes + t.Pulls*httpBytes
	return 2 * float64(total) / float64(len(r.fleet.Nodes)), busiest
}

func (r *run) idle(result *Result) {
	r.reset()
	r.fleet.Run(idleTime)
	average, busiest := r.bytes()
	result.IdleBytes = average / idleTime.Seconds()
	result.BusiestIdleBytes = busiest / idleTime.Seconds()
	result.PlatformReads = float64(r.fleet.Traffic.Reads) / idleTime.Seconds()
}

func (r *run) changes(result *Result, count int) error {
	r.reset()
	var times []float64
	for range count {
		before := r.fleet.Clock.Now()
		if err := r.release(); err != nil {
			return err
		}
		if !r.fleet.RunUntil(patience, r.converged) {
			return eris.Errorf("version %d is not in force everywhere after %s", r.state.Version, patience)
		}
		times = append(times, float64(r.fleet.Clock.Now().Sub(before).Microseconds())/1000)
		r.fleet.Run(between)
	}
	slices.Sort(times)
	result.P50 = times[len(times)/2]
	result.P99 = times[len(times)*99/100]
	result.Max = times[len(times)-1]
	average, busiest := r.bytes()
	result.ChangeBytes, result.BusiestChangeBytes = average/float64(count), busiest/float64(count)
	return nil
}

func (r *run) converged() bool {
	for _, n := range r.fleet.Nodes {
		if n.Version() != r.state.Version {
			return false
		}
	}
	return true
}

// herd restarts a tenth of the fleet at once.
func (r *run) herd(result *Result) error {
	r.reset()
	for i := range max(len(r.fleet.Nodes)/10, 1) {
		r.start(i)
	}
	before := r.fleet.Clock.Now()
	r.fleet.Tell()
	if !r.fleet.RunUntil(patience, r.converged) {
		return eris.Errorf("a restarted node is not back after %s", patience)
	}
	result.HerdSeconds = r.fleet.Clock.Now().Sub(before).Seconds()
	result.HerdReads = r.fleet.Traffic.Reads
	return nil
}

// release appends the three records of a change that adds a host.
func (r *run) release() error {
	id := fmt.Sprintf("change-%d", r.state.Offset)
	edits := mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}},
		PutHosts:    []mesh.Host{{ID: mesh.HostID(id), Zone: "zone-0", Service: "desk"}},
	}
	operator := change.Principal{Name: "op", Role: change.Operator}
	customer := change.Principal{Name: "cu", Role: change.CustomerRole, Customer: "menders"}
	propose := change.Record{ID: id, Kind: change.Propose, By: operator, Proposal: id, Base: r.state.Version, Edits: &edits}
	if err := r.append(propose); err != nil {
		return err
	}
	digest := r.state.Proposals[id].Digest
	if err := r.append(change.Record{ID: id + "-a", Kind: change.Approve, By: customer, Proposal: id, Digest: digest}); err != nil {
		return err
	}
	return r.append(change.Record{ID: id + "-r", Kind: change.Release, By: operator, Proposal: id, Digest: digest})
}

func (r *run) append(c change.Record) error {
	data, err := record.EncodeChange(c)
	if err != nil {
		return err
	}
	offset := r.fleet.Append(eventlog.Config, data)
	state, outcome := r.state.Apply(offset, c)
	r.state = state
	if !outcome.Accepted {
		return eris.Errorf("record %s refused: %s", c.ID, outcome.Refusal)
	}
	return nil
}
