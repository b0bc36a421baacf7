// Package node assembles a node: the blackboard, the controllers on their worker
// pool, the I/O workers, and the front ends on their listeners. It is the entry
// point for programs that embed the system.
package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/clients"
	decideclients "github.com/marigoldshelf/marigoldshelf/decide/clientload"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/front/clientload"
	"github.com/marigoldshelf/marigoldshelf/front/keyed"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/front/peer"
	"github.com/marigoldshelf/marigoldshelf/front/pipeline"
	registrationfront "github.com/marigoldshelf/marigoldshelf/front/registration"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// closeTimeout limits the closing of connections once no work is in progress.
const closeTimeout = 30 * time.Second

// Options holds the settings and the dependencies of a node.
type Options struct {
	Settings settings.Settings
	// Log is the platform's log service.
	Log eventlog.Log
	// Network opens the node's ports and connections. Nil stands for
	// network.System.
	Network network.Network
	// Clock is the source of time.
	Clock clock.Clock
	// Seed is the seed of the node's random numbers.
	Seed uint64
	// Board holds the tables. Tests use one that checks the lock order.
	Board *blackboard.Board
	// Metrics records the node's metrics.
	Metrics *metrics.Metrics
	// MetricsPage is served at /metrics of the operators' listener. Optional.
	MetricsPage http.Handler
	// Logger writes the node's log. Optional.
	Logger *logs.Logger
	// Events writes the log lines about decisions. Optional.
	Events *logs.Events
	// LogBuffer is the buffered output of Logger and Events, which the node
	// flushes. Optional; without it the loggers write directly.
	LogBuffer *logs.BoundedWriter
	// Adapter connects the node to a platform. Without it the node uses its own
	// change log and its settings.
	Adapter Adapter
}

// Node is one process of the system. Create it with New, then call Run.
type Node struct {
	options   Options
	tables    *tables.Tables
	pool      *controller.Pool
	ioPool    *controller.Pool
	keyPool   *controller.Pool
	sendPool  *controller.Pool
	self      mesh.Member
	listeners listeners
	// transports and backendPools hold idle connections, which are closed when
	// the node stops.
	transports   []*http.Transport
	backendPools []*hop.Pool
	// reports receives the reports of the own backend server; nil without an
	// adapter.
	reports *registrationfront.Registrar
	// traffic holds the settings that can change while the node runs.
	traffic atomic.Pointer[settings.Traffic]
	record  recorder
	// ledger accounts for the connections of clients.
	ledger *clientload.Ledger
}

// listeners are the node's open ports.
type listeners struct {
	callers, peers, operators net.Listener
	probes                    net.PacketConn
	// readiness and reports are nil without an adapter.
	readiness, reports net.Listener
}

// New opens the node's ports and registers its controllers.
func New(o Options) (*Node, error) {
	if o.Network == nil {
		o.Network = network.System{}
	}
	n := &Node{
		options:  o,
		tables:   tables.New(o.Board),
		pool:     controller.NewPool(o.Clock, o.Settings.Workers),
		ioPool:   controller.NewPool(o.Clock, o.Settings.IOWorkers),
		keyPool:  controller.NewPool(o.Clock, keyWorkers),
		sendPool: controller.NewPool(o.Clock, sendWorkers),
	}
	n.traffic.Store(&o.Settings.Traffic)
	n.record = recorder{events: o.Events, metrics: o.Metrics, malformedLines: logs.NewPerKey(malformedInterval)}
	if err := n.openListeners(); err != nil {
		return nil, err
	}
	s := o.Settings
	n.self = mesh.Member{
		Host:        s.Host,
		Zone:        s.Zone,
		Region:      s.Region,
		Service:     s.Backend.Service,
		Incarnation: mesh.Incarnation(o.Clock.Now().UnixNano()),
		State:       mesh.Alive,
		PeerAddress: cmp.Or(s.Listen.PeersAdvertised, n.listeners.peers.Addr().String()),
	}
	n.self.StartIncarnation = n.self.Incarnation
	n.self.ProbeAddress = n.listeners.probes.LocalAddr().String()
	n.registerControllers()
	return n, nil
}

// Addresses holds the IP:port addresses that a node listens on.
type Addresses struct {
	Callers, Peers, Operators, Probes string
}

// Addresses returns the addresses of the open ports.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.listeners.callers.Addr().String(),
		Peers:     n.listeners.peers.Addr().String(),
		Operators: n.listeners.operators.Addr().String(),
		Probes:    n.listeners.probes.LocalAddr().String(),
	}
}

func (n *Node) openListeners() (err error) {
	l := n.options.Settings.Listen
	if n.listeners.callers, err = n.options.Network.Listen(l.Callers); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if n.listeners.peers, err = n.options.Network.Listen(l.Peers); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if n.listeners.operators, err = n.options.Network.Listen(l.Operators); err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	if n.options.Adapter != nil {
		if n.listeners.readiness, err = n.options.Network.Listen(l.Readiness); err != nil {
			return eris.Wrap(err, "listen for readiness")
		}
		if n.listeners.reports, err = n.options.Network.Listen(l.Reports); err != nil {
			return eris.Wrap(err, "listen for reports")
		}
	}
	n.listeners.probes, err = n.options.Network.ListenPacket(l.Probes)
	return eris.Wrap(err, "listen for probes")
}

// registerControllers adds all controllers to the pool.
func (n *Node) registerControllers() {
	n.registerTraffic()
	n.registerClients()
	if n.options.Adapter != nil {
		n.registerAdapter()
	} else {
		n.registerConfig()
		n.registerKeys()
	}
	n.registerObserve()
	n.registerMembership()
}

// Run serves until ctx ends. It then waits for work in progress, closes the
// listeners and returns. The error is set if the wait or the shutdown failed.
func (n *Node) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	n.registerIO(workCtx)
	front := n.probeFront()
	front.RegisterSender(n.ioPool)
	if n.options.Adapter != nil {
		n.registerAdapterIO(workCtx)
	} else {
		n.registerKeyIO(workCtx)
	}
	servers, err := n.servers()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer stopWork()
	group.Go(func() { n.pool.Run(workCtx) })
	group.Go(func() { n.ioPool.Run(workCtx) })
	group.Go(func() { n.receiveProbes(workCtx, front) })
	group.Go(func() { n.keyPool.Run(workCtx) })
	group.Go(func() { n.sendPool.Run(workCtx) })
	for _, s := range servers {
		group.Go(func() { s.run() })
	}
	<-ctx.Done()
	defer n.closeIdleConnections()
	if err := n.drain(workCtx); err != nil {
		return err
	}
	if n.options.Adapter == nil {
		n.distribution().ExpirePulls()
	}
	timeout := closeTimeout
	if remaining, limited := n.tables.Drain.Load().TimeToExit(n.options.Clock.Now()); limited {
		timeout = remaining
	}
	return shutdown(servers, timeout)
}

// drain stops the admission of new work for the own backend server. It returns
// when no work is in progress, or shortly before the process is killed. Until then
// all controllers run and all listeners respond: requests of peers are refused as
// not run, and callers' requests are sent to other nodes.
func (n *Node) drain(ctx context.Context) error {
	t := n.tables
	now := n.options.Clock.Now()
	within := n.stopWithin()
	n.record.process("stopping")
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Drain.Set(tx, t.Drain.Get(tx).Stop(now).WithKillAfter(within))
	}, t.Drain.Write())
	_, err := t.Drain.Await(ctx, func(s drain.State) bool { return s.Done })
	return eris.Wrap(err, "wait for work in progress")
}

func (n *Node) closeIdleConnections() {
	for _, t := range n.transports {
		t.CloseIdleConnections()
	}
	for _, p := range n.backendPools {
		p.CloseIdleConnections()
	}
}

// server is a front end and its listener.
type server struct {
	listener net.Listener
	front    interface {
		Serve(net.Listener) error
		Shutdown(context.Context) error
	}
}

// run serves until shutdown. The error of Serve is ignored, because it reports
// only that the server was shut down.
func (s server) run() { _ = s.front.Serve(s.listener) }

const (
	headerTimeout = 10 * time.Second
	// controlIdleTimeout exceeds the interval of reports, so that their connection
	// stays open.
	controlIdleTimeout = time.Minute
	maxHeaderBytes     = 64 << 10
	// forwardedHeadGrowth is the ratio of a forwarded head to the one that was received:
	// a node writes the shortest lines, of three bytes, as lines of five, and adds its own.
	forwardedHeadGrowth = 2
	// maxControlBodyBytes limits the body of a request between nodes that is not a
	// caller's.
	maxControlBodyBytes = 4 << 20
	// peerRetryAfter is how long a node sends no requests of the class to one without
	// memory for them. Most requests end in that time.
	peerRetryAfter = 100 * time.Millisecond
)

// newServer returns a server whose connections are accounted for.
func (n *Node) newServer(l net.Listener, c pipeline.Config) server {
	c.Ledger = n.ledger
	c.OnPanic = n.record.panicked
	return server{listener: l, front: pipeline.New(c)}
}

// Listeners of the ledger.
var (
	callersListener   = clientload.Listener{Name: "callers", Group: decideclients.Callers}
	operatorsListener = clientload.Listener{Name: "operators", Group: decideclients.Control}
	peersListener     = clientload.Listener{Name: "peers", Group: decideclients.Peers}
	reportsListener   = clientload.Listener{Name: "reports", Group: decideclients.Control}
	readinessListener = clientload.Listener{Name: "readiness", Group: decideclients.Control}
)

// newCallerServer returns the server for callers. Without an adapter their requests
// can have idempotency keys.
func (n *Node) newCallerServer() server {
	c := pipeline.Config{Handler: n.callerHandler(), Limits: n.callerLimits, Listener: callersListener}
	if n.options.Adapter == nil {
		c.Handler = n.keyedHandler(c.Handler)
		c.BufferedBytes = keyed.BufferedBytes
		c.AddRefusalHeaders = func(h http.Header, reason verdict.Reason) {
			h.Set(hop.HeaderVerdict, verdict.NotRun.String())
			h.Set(hop.HeaderReason, string(reason))
		}
	}
	return n.newServer(n.listeners.callers, c)
}

// newControlServer returns the server of a listener for operators, for the own backend
// server or for the platform. Bodies at the listener for operators are read only after
// their sender was authenticated.
func (n *Node) newControlServer(l net.Listener, listener clientload.Listener, h http.Handler) server {
	c := pipeline.Config{Handler: h, Listener: listener, Limits: n.controlLimits}
	if listener == operatorsListener {
		c.BufferedBytes = func(*http.Request) int64 { return 0 }
	}
	return n.newServer(l, c)
}

func (n *Node) controlLimits() pipeline.Limits {
	return pipeline.Limits{
		MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: controlIdleTimeout,
		WriteTimeout: n.options.Settings.Traffic.BodyIdle(), Connections: n.options.Settings.Clients.ReportConnections,
	}
}

// newPeerServer returns the server for other nodes.
func (n *Node) newPeerServer() server {
	return n.newServer(n.listeners.peers, pipeline.Config{
		Handler: n.peerMux(), Limits: n.peerLimits, Listener: peersListener, BufferedBytes: peerBufferedBytes,
		AddRefusalHeaders: n.addPeerRefusalHeaders,
	})
}

func (n *Node) peerLimits() pipeline.Limits {
	return pipeline.Limits{
		MaxHeaderBytes: forwardedHeadGrowth * max(n.callerLimits().MaxHeaderBytes, maxHeaderBytes), HeaderTimeout: headerTimeout,
		WriteTimeout: n.options.Settings.Traffic.BodyIdle(), Connections: n.options.Settings.Clients.PeerConnections,
	}
}

// peerBufferedBytes returns the part of a request's body that peerMux buffers.
func peerBufferedBytes(r *http.Request) int64 {
	if !hop.IsForwarded(r.Header) {
		return maxControlBodyBytes
	}
	return peer.BufferedBytes(r)
}

// addPeerRefusalHeaders tells the sending node that a request has not run.
func (n *Node) addPeerRefusalHeaders(h http.Header, reason verdict.Reason) {
	refusal := hop.ResponseInfo{Verdict: verdict.NotRun, Reason: reason, Load: n.tables.Occupancy.Load()}
	if reason == verdict.ClientMemory {
		refusal.RetryAfter = peerRetryAfter
	}
	refusal.Write(h)
}

// registerClients adds the accounting of what clients hold.
func (n *Node) registerClients() {
	s := n.options.Settings.Clients.WithDefaults()
	n.options.Settings.Clients = s
	limits := decideclients.Limits{TotalBytes: s.MemoryBytes, ConnectionBytes: s.ConnectionBytes, HeaderLines: s.HeaderLines}
	n.ledger = clientload.New(n.ioPool, n.tables, n.options.Clock, limits, func(reason verdict.Reason) {
		n.options.Metrics.Count(clientLimitedEvent, reason)
	})
	clients.Register(n.pool, n.tables, limits)
}

// clientLimitedEvent counts the requests and connections that a limit on clients
// refused, held up or closed.
const clientLimitedEvent = "client_limited"

func (n *Node) servers() ([]server, error) {
	api := &operator.API{
		Tables: n.tables, Clock: n.options.Clock, Self: n.self, Credentials: n.options.Settings.Credentials,
		Meter: n.options.Metrics, NewID: uuid.NewString,
		ReadOnly: n.options.Adapter != nil,
	}
	operators, err := api.Handler()
	if err != nil {
		return nil, eris.Wrap(err, "create operators' API")
	}
	servers := []server{
		n.newPeerServer(),
		n.newControlServer(n.listeners.operators, operatorsListener, n.operatorMux(operators)),
		n.newCallerServer(),
	}
	if adapter := n.options.Adapter; adapter != nil {
		servers = append(servers,
			n.newControlServer(n.listeners.readiness, readinessListener, adapter.ReadinessHandler(n.unreadyReason)),
			n.newControlServer(n.listeners.reports, reportsListener, adapter.ReportHandler(n.applyReport, n.record.reportMalformed)),
		)
	}
	return servers, nil
}

// callerLimits returns the limits of the active configuration, or defaults if it
// sets none.
func (n *Node) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{
		MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout,
		WriteTimeout: n.options.Settings.Traffic.BodyIdle(), Connections: n.options.Settings.Clients.Connections,
	}
	if routes := n.tables.Routes.Load(); routes != nil && routes.Limits.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = routes.Limits.MaxHeaderBytes
		limits.MaxBodyBytes = routes.Limits.MaxBodyBytes
		limits.HeaderTimeout = routes.Limits.HeaderTimeout
		limits.IdleTimeout = routes.Limits.IdleTimeout
	}
	return limits
}

// shutdown stops all servers concurrently. Each waits for its requests to end, up
// to timeout.
func shutdown(servers []server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var group sync.WaitGroup
	errs := make([]error, len(servers))
	for i, s := range servers {
		group.Go(func() { errs[i] = s.front.Shutdown(ctx) })
	}
	group.Wait()
	return eris.Wrap(errors.Join(errs...), "shut down listeners")
}
