// Package node puts a node together: the blackboard, the controllers on their
// pool, the I/O workers, and the front ends on their listeners. Those who embed
// the system start here.
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
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/front/pipeline"
	desk "github.com/marigoldshelf/marigoldshelf/front/registration"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// closeTimeout bounds the closing of connections once nothing is under way.
const closeTimeout = 30 * time.Second

// Options is what a node needs beside its settings.
type Options struct {
	Settings settings.Settings
	// Log is the platform's log service.
	Log eventlog.Log
	// Network opens the node's ports and connections; nil for the host's.
	Network network.Network
	// Clock is the node's time.
	Clock clock.Clock
	// Seed starts the node's draws.
	Seed uint64
	// Board holds the tables; tests give one that checks the lock order.
	Board *blackboard.Board
	// Metrics takes the node's counters.
	Metrics *metrics.Metrics
	// MetricsPage is served to scrapers; nil for none.
	MetricsPage http.Handler
	// Logger takes the node's log; nil for none.
	Logger *logs.Logger
	// Events takes the lines about decisions; nil for none.
	Events *logs.Events
	// LogBuffer is what Events writes to, if the node is to flush it.
	LogBuffer *logs.Bounded
	// Adapter lets the node run on a platform; nil for the node's own change
	// log and settings.
	Adapter Adapter
}

// Node is one process of the system. Make it with New, then call Run.
type Node struct {
	options   Options
	tables    *tables.Tables
	pool      *controller.Pool
	ioPool    *controller.Pool
	keyPool   *controller.Pool
	sendPool  *controller.Pool
	self      mesh.Member
	listeners listeners
	// transports are those whose idle connections end with the node.
	transports []*http.Transport
	// pools are the same towards the own backend server.
	pools []*hop.Pool
	desk  *desk.Desk
	// traffic has the settings that may change while the node runs.
	traffic atomic.Pointer[settings.Traffic]
	record  recorder
}

// listeners are the node's open ports.
type listeners struct {
	callers, peers, operators net.Listener
	probes                    net.PacketConn
	// readiness and reports are open on a platform only.
	readiness, reports net.Listener
}

// New opens the node's ports and puts its parts together.
func New(o Options) (*Node, error) {
	if o.Network == nil {
		o.Network = network.System{}
	}
	n := &Node{
		options: o,
		tables:  tables.New(o.Board),
		pool:    controller.New(o.Clock, o.Settings.Workers),
		ioPool:  controller.New(o.Clock, o.Settings.IOWorkers),
		keyPool: controller.New(o.Clock, keyWorkers),

		sendPool: controller.New(o.Clock, sendWorkers),
	}
	n.traffic.Store(&o.Settings.Traffic)
	n.record = recorder{events: o.Events, metrics: o.Metrics}
	if err := n.listen(); err != nil {
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
	n.self.Life = n.self.Incarnation
	n.self.ProbeAddress = n.listeners.probes.LocalAddr().String()
	n.registerControllers()
	return n, nil
}

// Addresses are the ports that a node listens on.
type Addresses struct {
	Callers, Peers, Operators, Probes string
}

// Addresses returns the node's ports.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.listeners.callers.Addr().String(),
		Peers:     n.listeners.peers.Addr().String(),
		Operators: n.listeners.operators.Addr().String(),
		Probes:    n.listeners.probes.LocalAddr().String(),
	}
}

func (n *Node) listen() (err error) {
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

// registerControllers puts the controllers of each area on the pool.
func (n *Node) registerControllers() {
	n.registerTraffic()
	if n.options.Adapter != nil {
		n.registerAdapter()
	} else {
		n.registerConfig()
		n.registerKeys()
	}
	n.registerObserve()
	n.registerFleet()
}

// Run serves until ctx ends, then lets what is under way finish.
func (n *Node) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	n.registerIO(work)
	front := n.probeFront()
	front.RegisterSender(n.ioPool)
	if n.options.Adapter != nil {
		n.registerAdapterIO(work)
	} else {
		n.registerKeyIO(work)
	}
	servers, err := n.servers()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer stopWork()
	group.Go(func() { n.pool.Run(work) })
	group.Go(func() { n.ioPool.Run(work) })
	group.Go(func() { n.receiveProbes(work, front) })
	group.Go(func() { n.keyPool.Run(work) })
	group.Go(func() { n.sendPool.Run(work) })
	for _, s := range servers {
		group.Go(func() { s.run() })
	}
	<-ctx.Done()
	defer n.closeIdle()
	if err := n.drain(work); err != nil {
		return err
	}
	if n.options.Adapter == nil {
		n.distribution().Release()
	}
	timeout := closeTimeout
	if left, bounded := n.tables.Drain.Load().Left(n.options.Clock.Now()); bounded {
		timeout = left
	}
	return shutdown(servers, timeout)
}

// drain lets the node take no new work for its backend server, and returns
// when nothing is under way. Until then its controllers run and every listener
// answers: peers are refused truthfully, callers are served by other nodes.
func (n *Node) drain(ctx context.Context) error {
	t := n.tables
	now := n.options.Clock.Now()
	within := n.stopWithin()
	n.record.process("stopping")
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Drain.Set(tx, t.Drain.Get(tx).Stop(now).KilledAfter(within))
	}, t.Drain.Write())
	_, err := t.Drain.Await(ctx, func(s drain.State) bool { return s.Done })
	return eris.Wrap(err, "stop")
}

func (n *Node) closeIdle() {
	for _, t := range n.transports {
		t.CloseIdleConnections()
	}
	for _, p := range n.pools {
		p.CloseIdleConnections()
	}
}

// server is one front end on its listener.
type server struct {
	listener net.Listener
	front    interface {
		Serve(net.Listener) error
		Shutdown(context.Context) error
	}
}

// run serves until shutdown; the error it ends with then says nothing.
func (s server) run() { _ = s.front.Serve(s.listener) }

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

func newServer(l net.Listener, h http.Handler) server {
	return server{listener: l, front: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
}

func (n *Node) servers() ([]server, error) {
	api := &operator.API{
		Tables: n.tables, Clock: n.options.Clock, Self: n.self, Logins: n.options.Settings.Logins,
		Meter: n.options.Metrics, NewID: uuid.NewString,
		ReadOnly: n.options.Adapter != nil,
	}
	operators, err := api.Handler()
	if err != nil {
		return nil, eris.Wrap(err, "operators' API")
	}
	servers := []server{
		newServer(n.listeners.peers, n.peerMux()),
		newServer(n.listeners.operators, n.operatorMux(operators)),
	}
	if n.options.Adapter == nil {
		return append(servers, newServer(n.listeners.callers, n.keyedHandler(n.callerHandler()))), nil
	}
	return append(servers,
		server{listener: n.listeners.callers, front: pipeline.New(n.callerHandler(), n.callerLimits)},
		newServer(n.listeners.readiness, n.options.Adapter.Readiness(n.unready)),
		newServer(n.listeners.reports, n.options.Adapter.Reports(n.takeReport, n.record.reportRejected)),
	), nil
}

// callerLimits are those of the configuration in force.
func (n *Node) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout}
	if routes := n.tables.Routes.Load(); routes != nil && routes.Limits.HeaderBytes > 0 {
		limits.HeaderBytes = routes.Limits.HeaderBytes
		limits.HeaderTimeout = routes.Limits.HeaderTimeout
		limits.IdleTimeout = routes.Limits.IdleTimeout
	}
	return limits
}

// shutdown ends the servers together: each lets its requests end.
func shutdown(servers []server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var group sync.WaitGroup
	failures := make([]error, len(servers))
	for i, s := range servers {
		group.Go(func() { failures[i] = s.front.Shutdown(ctx) })
	}
	group.Wait()
	return eris.Wrap(errors.Join(failures...), "stop")
}
