package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controllers/approved"
	"github.com/marigoldshelf/marigoldshelf/controllers/registration"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	decide "github.com/marigoldshelf/marigoldshelf/decide/registration"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	approvedfront "github.com/marigoldshelf/marigoldshelf/front/approved"
	registrationfront "github.com/marigoldshelf/marigoldshelf/front/registration"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Adapter connects a node to a platform that approves configuration before the
// node reads it, and whose backend servers send reports to their node. It
// translates between the platform's formats and the node's types and makes no
// decisions. A node without an adapter reads its configuration from its own
// change log, and the settings describe its backend server.
type Adapter interface {
	// Dialect returns the header format that callers and backend servers use.
	Dialect() hop.Dialect
	// NextDocument reads the newest approved configuration. It can block for up
	// to request.Wait. A result without a document is not an error.
	NextDocument(ctx context.Context, request tables.DocumentRequest) tables.DocumentResult
	// DecodeConfig decodes the published form of a document.
	DecodeConfig(raw []byte) (mesh.ApprovedConfig, error)
	// ReportHandler returns the handler of the listener that receives the reports
	// of the node's own backend server. apply decides a report; malformed is
	// called for each report that cannot be decoded.
	ReportHandler(
		apply func(context.Context, decide.Report) (decide.ReportOutcome, error),
		malformed func(instance string, cause error),
	) http.Handler
	// IsHealthy reports whether the response to a health check says that the given
	// instance of the backend server accepts requests.
	IsHealthy(response *http.Response, instance string) bool
	// ReadinessHandler returns the handler of the listener at which the platform
	// queries whether the node accepts callers. unready returns the reason why it
	// does not, and an empty string when it does.
	ReadinessHandler(unready func() string) http.Handler
}

// queuePerSlot is the number of requests that can wait for each slot of a
// backend server that reports its slots.
const queuePerSlot = 1.0

// configEvent counts the versions of approved configuration, by what became of
// them.
const configEvent = "configuration"

// registerAdapter adds the controllers of a node with an adapter. The node
// starts as draining until its backend server reports that it is ready.
func (n *Node) registerAdapter() {
	t := n.tables
	s := n.options.Settings
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Drain.Set(tx, drain.State{Draining: true, Since: n.options.Clock.Now()})
	}, t.Drain.Write())
	n.reports = &registrationfront.Registrar{Tables: t}
	registration.Register(n.pool, t, registration.Config{
		Configured:       decide.Report{Service: s.Backend.Service, Address: s.Backend.Address},
		QueuePerSlot:     queuePerSlot,
		OnChange:         n.record.backendChanged,
		OnRejectedReport: n.record.reportRejected,
	})
	approved.Register(n.pool, t, approved.Config{
		Self:   n.self.Host,
		Random: rand.New(rand.NewPCG(n.options.Seed, uint64(n.self.Incarnation)+1)),
		OnActivated: func(d tables.Document, previous mesh.Version) {
			n.options.Metrics.Count(configEvent, "activated")
			n.record.configActivated(d, previous)
		},
		OnRejected: func(d tables.RejectedDocument) {
			n.options.Metrics.Count(configEvent, "rejected")
			n.record.configRejected(d)
		},
		OnSourceChange: n.record.sourceChanged,
		OnEraChange:    n.storeEraChanged,
	})
}

// storeEraEvent counts the changes of the store's era that the node has observed.
const storeEraEvent = "store_era"

// storeEraChanged records that the store was restored from a copy.
func (n *Node) storeEraChanged(previous, current uint64) {
	n.options.Metrics.Count(storeEraEvent, "changed")
	n.record.storeEraChanged(previous, current)
}

// registerAdapterIO adds the I/O workers that read documents from the store and
// from peers.
func (n *Node) registerAdapterIO(ctx context.Context) {
	t := n.tables
	adapter := n.options.Adapter
	peers := approvedfront.Client{HTTP: &http.Client{Transport: n.transport(0)}, Decode: adapter.DecodeConfig}
	outbox.Serve(ctx, n.ioPool, t.Board, "ask for documents", t.DocumentRequests, t.DocumentResults,
		func(ctx context.Context, source string, request tables.DocumentRequest) tables.DocumentResult {
			if source == approved.SourceStore {
				return adapter.NextDocument(ctx, request)
			}
			return peers.Fetch(ctx, request)
		})
	checks := &http.Client{Transport: n.transport(0)}
	outbox.Serve(ctx, n.ioPool, t.Board, "check backend server", t.BackendChecks, t.BackendCheckResults,
		func(ctx context.Context, instance string, _ tables.BackendCheck) tables.BackendCheckResult {
			return n.checkBackend(ctx, checks, instance)
		})
}

// healthCheckTimeout limits a health check of the own backend server, together
// with the wait for the configuration that has its path.
const healthCheckTimeout = time.Second

// checkBackend checks the health of an instance of the own backend server. The
// first report of the backend server can come before the first configuration.
func (n *Node) checkBackend(ctx context.Context, client *http.Client, instance string) tables.BackendCheckResult {
	own := n.options.Settings.Backend
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	routes, err := n.tables.Routes.Await(ctx, func(t *route.Table) bool { return t != nil })
	if err != nil {
		return tables.BackendCheckResult{Err: eris.Wrap(err, "await configuration")}
	}
	if routes.HealthPaths[own.Service] == "" {
		return tables.BackendCheckResult{Err: eris.New("the configuration names no health check")}
	}
	address := url.URL{Scheme: "http", Host: own.Address, Path: routes.HealthPaths[own.Service]}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return tables.BackendCheckResult{Err: eris.Wrap(err, "create health check")}
	}
	response, err := client.Do(request)
	if err != nil {
		return tables.BackendCheckResult{Err: eris.Wrap(err, "check health of the backend server")}
	}
	response.Body.Close()
	return tables.BackendCheckResult{Healthy: n.options.Adapter.IsHealthy(response, instance)}
}

// dialect returns the header format that callers and backend servers use.
func (n *Node) dialect() hop.Dialect {
	if n.options.Adapter == nil {
		return hop.DefaultDialect{NotRunHeader: n.options.Settings.Backend.NotRunHeader}
	}
	return n.options.Adapter.Dialect()
}

// backendTransport returns the transport for requests to the own backend server.
func (n *Node) backendTransport() http.RoundTripper {
	if n.options.Adapter == nil {
		return n.transport(n.options.Settings.Backend.Connections)
	}
	dialect := n.options.Adapter.Dialect()
	pool := &hop.Pool{
		Network:        n.options.Network,
		MaxConnections: n.backendConnections,
		IsResponseTo: func(response *http.Response, sent *http.Request) bool {
			return dialect.ClassifyResponse(response, sent) != hop.ResponseMismatched
		},
		IsAuthentic: func(response *http.Response, sent *http.Request) bool {
			return dialect.ClassifyResponse(response, sent) != hop.ResponseNotAuthentic
		},
	}
	n.backendPools = append(n.backendPools, pool)
	return pool
}

// backendConnections returns the maximum number of connections to the own
// backend server. The configuration limits the connections of all callers
// together; this node is the only caller, so the whole limit applies to it.
func (n *Node) backendConnections() int {
	own := n.options.Settings.Backend
	if routes := n.tables.Routes.Load(); routes != nil && routes.Connections[own.Service] > 0 {
		return routes.Connections[own.Service]
	}
	return own.Connections
}

// backendInstance returns the instance of the backend server that requests are
// currently addressed to.
func (n *Node) backendInstance() string { return n.tables.Backend.Backend.Load().Instance }

// reportBackendFailure passes on to the registration controller what the failure
// of a request shows about the backend server.
func (n *Node) reportBackendFailure(instance string, failure *verdict.Error) {
	if failure == nil {
		return
	}
	switch failure.Reason {
	case verdict.ConnectFailed:
		n.reports.AddObservation(instance, tables.ConnectFailed)
	case verdict.WrongHost:
		n.reports.AddObservation(instance, tables.InstanceReplaced)
	}
}

// applyReport waits for the decision on a report of the backend server.
func (n *Node) applyReport(ctx context.Context, r decide.Report) (decide.ReportOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	outcome, err := n.reports.Submit(ctx, r)
	return outcome, eris.Wrap(err, "apply report of the backend server")
}

// reportTimeout limits the decision on a report, which takes one transaction.
const reportTimeout = 500 * time.Millisecond
