// Package metrics has the counters and gauges of a node: a counter for each
// reason that a request was refused, failed or tried again, and gauges of the
// tables that an operator watches. They go to a tally scope; Scraped makes one
// that a scraper reads over HTTP.
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
	// namePrefix begins the name of every metric.
	namePrefix = "marigold"
	// reportInterval is how often counters reach the scraped page.
	reportInterval = time.Second
)

// Metrics writes a node's counters and gauges. It is safe for concurrent use,
// inside transactions too: it takes no lock of the blackboard.
type Metrics struct {
	scope  tally.Scope
	counts sync.Map // countKey -> *atomic.Uint64
}

// countKey names one counter.
type countKey struct {
	event  string
	reason verdict.Reason
}

// New returns metrics that go to scope.
func New(scope tally.Scope) *Metrics { return &Metrics{scope: scope} }

// Scraped returns metrics that page shows in the text form that scrapers read.
// Closing ends the reporting.
func Scraped() (m *Metrics, page http.Handler, reporting io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          namePrefix,
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
		// The library's counters of its own cardinality say nothing of a node.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return New(scope), reporter.HTTPHandler(), closer
}

// Count adds one to the counter of an event for a reason. Events are "refused"
// and "attempt_failed" at the node that took a request, and "not_admitted" at
// the node beside the backend server; docs/OPERATING.md lists all.
func (m *Metrics) Count(event string, reason verdict.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(event).Inc(1)
	counter, _ := m.counts.LoadOrStore(countKey{event, reason}, new(atomic.Uint64))
	counter.(*atomic.Uint64).Add(1)
}

// Add adds n to a counter without a reason, such as bytes sent.
func (m *Metrics) Add(name string, n int64) { m.scope.Counter(name).Inc(n) }

// latencyBuckets are the bounds of the latency histograms: 1 ms to 8 s, each
// twice the one before, so that any latency is known within a factor of two.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Observe adds a latency to the histogram of a name and class.
func (m *Metrics) Observe(name, class string, took time.Duration) {
	m.scope.Tagged(map[string]string{"class": class}).Histogram(name, latencyBuckets).RecordDuration(took)
}

// Set sets a gauge.
func (m *Metrics) Set(name string, value float64) { m.scope.Gauge(name).Update(value) }

// Counted is the value of one counter.
type Counted struct {
	Event  string         `json:"event"`
	Reason verdict.Reason `json:"reason"`
	Count  uint64         `json:"count"`
}

// Counts returns every counter of an event and reason, in their order.
func (m *Metrics) Counts() []Counted {
	var list []Counted
	m.counts.Range(func(key, value any) bool {
		k := key.(countKey)
		list = append(list, Counted{Event: k.event, Reason: k.reason, Count: value.(*atomic.Uint64).Load()})
		return true
	})
	slices.SortFunc(list, func(a, b Counted) int {
		return cmp.Or(cmp.Compare(a.Event, b.Event), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}
