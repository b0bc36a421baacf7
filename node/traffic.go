package node

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/controllers/admission"
	"github.com/marigoldshelf/marigoldshelf/controllers/calls"
	"github.com/marigoldshelf/marigoldshelf/controllers/stop"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/front/approved"
	"github.com/marigoldshelf/marigoldshelf/front/caller"
	"github.com/marigoldshelf/marigoldshelf/front/keyed"
	"github.com/marigoldshelf/marigoldshelf/front/peer"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// notAdmitted is the event of a request that the admission point turned away.
const notAdmitted = "not_admitted"

// sendWorkers is the number of workers that send hedges; each is busy until
// the hedge is answered, and while all are, no other one is made.
const sendWorkers = 16

// registerTraffic adds the controllers of requests.
func (n *Node) registerTraffic() {
	t := n.tables
	backend := n.options.Settings.Backend
	if n.options.Adapter == nil {
		admission.Start(t, n.options.Clock.Now(), admit.Limits{Slots: backend.Slots, Queue: *backend.Queue})
	}
	admission.Register(n.pool, t)
	stop.Register(n.pool, t, n.options.Settings.Traffic.StopLimit())
	config := calls.Config{
		Zone:   n.self.Zone,
		Region: n.self.Region,
		Budget: n.sharedBudget,
		Random: rand.New(rand.NewPCG(n.options.Seed, uint64(n.self.Incarnation))),
	}
	if n.options.Adapter != nil {
		config.ReplyMargin = replyMargin
	}
	calls.Register(n.pool, t, config)
}

// replyMargin covers call.Grace and the way of an answer to a caller up to 30 ms
// away, with what a busy node takes to write it.
const replyMargin = call.Grace + 50*time.Millisecond

// transport returns a transport whose idle connections are closed when the
// node has stopped.
func (n *Node) transport(perHost int) *http.Transport {
	t := hop.NewTransport(n.options.Network, perHost)
	n.transports = append(n.transports, t)
	return t
}

func (n *Node) callerHandler() http.Handler {
	return caller.New(caller.Config{
		Tables:    n.tables,
		Clock:     n.options.Clock,
		Peers:     n.transport(0),
		CheckSend: keyed.CheckSend,
		Idle:      n.options.Settings.Traffic.BodyIdle(),
		Dialect:   n.dialect(),
		Origin:    n.self.Service,
		Record:    n.record,
		Count: func(event caller.Event, reason verdict.Reason) {
			n.options.Metrics.Count(string(event), reason)
		},
		Stopping: func() bool { return n.tables.Drain.Load().Stopping },
		Refusing: func() bool { return n.tables.Drain.Load().RefusesCallers(n.options.Clock.Now()) },
	}, n.sendPool)
}

// peerMux serves the peers' listener: callers' requests that other nodes
// forward, and the nodes' control calls under /twirp/.
func (n *Node) peerMux() http.Handler {
	mux := http.NewServeMux()
	if n.options.Adapter == nil {
		n.registerControl(mux)
	} else {
		mux.Handle(approved.Path, approved.Handler{Document: n.tables.Document})
	}
	calls := n.peerHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hop.IsRequest(r.Header) {
			calls.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (n *Node) peerHandler() http.Handler {
	backend := n.options.Settings.Backend
	h := &peer.Handler{
		Tables:    n.tables,
		Clock:     n.options.Clock,
		Host:      n.self.Host,
		Service:   n.self.Service,
		Backend:   backend.Address,
		Transport: n.backendTransport(),
		Idle:      n.options.Settings.Traffic.BodyIdle(),

		Dialect: n.dialect(),

		Count: func(reason verdict.Reason) { n.options.Metrics.Count(notAdmitted, reason) },
		Record: func(request hop.Request, row admit.Request, failure *verdict.Error) {
			n.record.admitted(request, row, n.tables.Occupancy.Load(), failure)
		},
	}
	if n.options.Adapter != nil {
		h.Instance = n.backendInstance
		h.Report = func(s peer.Sending) { n.sent(s.Instance, s.Failure) }
	}
	return h
}
