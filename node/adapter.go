package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controllers/approved"
	"github.com/marigoldshelf/marigoldshelf/controllers/registration"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	decide "github.com/marigoldshelf/marigoldshelf/decide/registration"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	front "github.com/marigoldshelf/marigoldshelf/front/approved"
	desk "github.com/marigoldshelf/marigoldshelf/front/registration"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Adapter lets a node run on a platform that approves configuration before it
// reaches the node, and whose backend servers report themselves. It translates
// and decides nothing. Without one the node keeps its configuration by its own
// change log, and the settings describe the backend server.
type Adapter interface {
	// Dialect is how callers and backend servers word requests.
	Dialect() hop.Dialect
	// NextDocument reads the newest approved configuration; it may hold as
	// long as the ask says. A result without a document is no failure.
	NextDocument(ctx context.Context, ask tables.DocumentAsk) tables.DocumentResult
	// DecodeConfig reads a document's published form.
	DecodeConfig(raw []byte) (mesh.Approved, error)
	// Reports serves the listener that the own backend server reports to.
	Reports(
		take func(context.Context, decide.Report) (decide.Verdict, error),
		rejected func(instance string, cause error),
	) http.Handler
	// Readiness serves the listener that is asked whether the node may get
	// callers; unready is empty when it may.
	Readiness(unready func() string) http.Handler
}

// queuePerSlot is the number of requests that may wait for each slot of a
// backend server that reports itself.
const queuePerSlot = 1.0

// registerAdapter adds the controllers of a node on a platform.
func (n *Node) registerAdapter() {
	t := n.tables
	s := n.options.Settings
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Drain.Set(tx, drain.State{Draining: true, Since: n.options.Clock.Now()})
	}, t.Drain.Write())
	n.desk = &desk.Desk{Tables: t}
	registration.Register(n.pool, t, registration.Config{
		Own:     decide.Report{Service: s.Backend.Service, Address: s.Backend.Address},
		Queue:   queuePerSlot,
		Changed: n.record.backendChanged,
		Dropped: n.record.reportDropped,
	})
	approved.Register(n.pool, t, approved.Config{
		Self:     n.self.Host,
		Random:   rand.New(rand.NewPCG(n.options.Seed, uint64(n.self.Incarnation)+1)),
		Taken:    n.record.configTaken,
		Rejected: func(d tables.Document, f route.Faults) { n.record.configRejected(d, f) },
		Reached:  n.record.sourceReached,
	})
}

// registerAdapterIO adds the duty of the I/O workers that ask for documents.
func (n *Node) registerAdapterIO(ctx context.Context) {
	t := n.tables
	adapter := n.options.Adapter
	peers := front.Client{HTTP: &http.Client{Transport: n.transport(0)}, Decode: adapter.DecodeConfig}
	outbox.Serve(ctx, n.ioPool, t.Board, "ask for documents", t.DocumentAsks, t.DocumentResults,
		func(ctx context.Context, source string, ask tables.DocumentAsk) tables.DocumentResult {
			if source == approved.Peers {
				return peers.Ask(ctx, ask)
			}
			return adapter.NextDocument(ctx, ask)
		})
}

// dialect returns how callers and backend servers word requests.
func (n *Node) dialect() hop.Dialect {
	if n.options.Adapter == nil {
		return hop.Plain{NotRunHeader: n.options.Settings.Backend.NotRunHeader}
	}
	return n.options.Adapter.Dialect()
}

// backendTransport carries requests to the own backend server.
func (n *Node) backendTransport() http.RoundTripper {
	if n.options.Adapter == nil {
		return n.transport(n.options.Settings.Backend.Connections)
	}
	dialect := n.options.Adapter.Dialect()
	pool := &hop.Pool{
		Network: n.options.Network,
		Limit:   n.backendConnections,
		Belongs: func(answer *http.Response, sent *http.Request) bool {
			return dialect.ReadBackend(answer, sent) != hop.Foreign
		},
	}
	n.pools = append(n.pools, pool)
	return pool
}

// backendConnections bounds the connections to the own backend server: what
// the configuration allows to all callers, since this node is the only one.
func (n *Node) backendConnections() int {
	own := n.options.Settings.Backend
	if routes := n.tables.Routes.Load(); routes != nil && routes.Connections[own.Service] > 0 {
		return routes.Connections[own.Service]
	}
	return own.Connections
}

// backendInstance names the backend server that is meant by requests now.
func (n *Node) backendInstance() string { return n.tables.Backend.Backend.Load().Instance }

// sent tells the controller what a request found out about the backend server.
func (n *Node) sent(instance string, failure *verdict.Error) {
	if failure == nil {
		return
	}
	switch failure.Reason {
	case verdict.ConnectFailed:
		n.desk.Find(instance, tables.TookNone)
	case verdict.WrongHost:
		n.desk.Find(instance, tables.Replaced)
	}
}

// takeReport waits for the decision on a report.
func (n *Node) takeReport(ctx context.Context, r decide.Report) (decide.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	v, err := n.desk.Take(ctx, r)
	return v, eris.Wrap(err, "report")
}

// reportTimeout bounds the decision on a report; it takes a transaction.
const reportTimeout = 500 * time.Millisecond
