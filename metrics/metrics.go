// Package metrics records the metrics of a node in a tally scope: counters of
// events by reason, such as rejected requests and failed attempts, latency
// histograms, and gauges of the tables. NewPrometheus returns metrics that are
// exported over HTTP in the Prometheus text format.
package metrics

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// namePrefix is the prefix of all metric names.
	namePrefix = "marigold"
	// reportInterval is how often the exported page is updated.
	reportInterval = time.Second
)

// Metrics records a node's metrics. It is safe for concurrent use, also inside
// transactions: it takes no lock of the blackboard.
type Metrics struct {
	scope  tally.Scope
	counts sync.Map // countKey -> *atomic.Uint64; read by Counts
}

// countKey identifies a counter.
type countKey struct {
	event  string
	reason verdict.Reason
}

// New returns metrics that are recorded in scope.
func New(scope tally.Scope) *Metrics { return &Metrics{scope: scope} }

// NewPrometheus returns metrics and the page that exports them in the Prometheus
// text format. Closing reporting flushes the metrics and ends the updates of the page.
func NewPrometheus() (m *Metrics, page http.Handler, reporting io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          namePrefix,
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
		// tally's counters of its own cardinality are not metrics of the node.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return New(scope), reporter.HTTPHandler(), closer
}

// Count adds one to the counter of an event with a reason. Examples are
// "refused" and "attempt_failed" at the node that received the caller's request,
// and "not_admitted" at the node of the backend server. docs/OPERATING.md lists
// all events.
func (m *Metrics) Count(event string, reason verdict.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(event).Inc(1)
	counter, _ := m.counts.LoadOrStore(countKey{event, reason}, new(atomic.Uint64))
	counter.(*atomic.Uint64).Add(1)
}

// Add adds n to a counter that has no reason, such as bytes sent.
func (m *Metrics) Add(name string, n int64) { m.scope.Counter(name).Inc(n) }

// latencyBuckets are the bounds of the latency histograms: 1 ms to 8 s, each
// twice the previous one, so that a latency is recorded within a factor of two.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Observe records a latency in the histogram of the given name and request class.
func (m *Metrics) Observe(name, class string, latency time.Duration) {
	m.scope.Tagged(map[string]string{"class": class}).Histogram(name, latencyBuckets).RecordDuration(latency)
}

// Set sets the gauge of the given name.
func (m *Metrics) Set(name string, value float64) { m.scope.Gauge(name).Update(value) }

// CounterValue is the value of the counter of an event with a reason since the
// start of the node.
type CounterValue struct {
	Event  string         `json:"event"`
	Reason verdict.Reason `json:"reason"`
	Count  uint64         `json:"count"`
}

// Counts returns all counters of Count, ordered by event and reason.
func (m *Metrics) Counts() []CounterValue {
	var list []CounterValue
	m.counts.Range(func(key, value any) bool {
		k := key.(countKey)
		list = append(list, CounterValue{Event: k.event, Reason: k.reason, Count: value.(*atomic.Uint64).Load()})
		return true
	})
	slices.SortFunc(list, func(a, b CounterValue) int {
		return cmp.Or(cmp.Compare(a.Event, b.Event), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}
