package node

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controllers/admission"
	"github.com/marigoldshelf/marigoldshelf/controllers/calls"
	"github.com/marigoldshelf/marigoldshelf/controllers/quota"
	"github.com/marigoldshelf/marigoldshelf/controllers/stop"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	decide "github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/front/approved"
	"github.com/marigoldshelf/marigoldshelf/front/caller"
	"github.com/marigoldshelf/marigoldshelf/front/keyed"
	"github.com/marigoldshelf/marigoldshelf/front/peer"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// notAdmittedEvent counts the requests that the admission point rejected.
const notAdmittedEvent = "not_admitted"

// sendWorkers is the number of workers that send hedged requests. Each is busy
// until its request is answered. While all are busy, no further request is
// hedged.
const sendWorkers = 16

// registerTraffic adds the controllers of callers' requests, of admission to the
// own backend server, and of the planned stop.
func (n *Node) registerTraffic() {
	t := n.tables
	backend := n.options.Settings.Backend
	if n.options.Adapter == nil {
		admission.SetInitialLimits(t, n.options.Clock.Now(), admit.Limits{Slots: backend.Slots, Queue: *backend.Queue})
	}
	admission.Register(n.pool, t, admission.Config{
		LearnsLimit: func() bool { return n.traffic.Load().LearnedLimits },
	})
	stop.Register(n.pool, t, n.options.Settings.Traffic.StopLimit())
	config := calls.Config{
		Zone:        n.self.Zone,
		Region:      n.self.Region,
		RetryBudget: n.sharedBudget,
		Random:      rand.New(rand.NewPCG(n.options.Seed, uint64(n.self.Incarnation))),
	}
	if n.options.Adapter != nil {
		config.ResponseMargin = responseMargin
	}
	calls.Register(n.pool, t, config)
	quota.Register(n.pool, t, quota.Config{
		Zones:  len(n.options.Settings.Zones),
		Random: rand.New(rand.NewPCG(n.options.Seed+1, uint64(n.self.Incarnation))),
		Add:    n.options.Metrics.Add,
	})
}

// responseMargin is how long before the caller's deadline a response is due. It
// covers call.DeadlineGrace, the network delay to a caller up to 30 ms away, and
// the time a busy node takes to write the response.
const responseMargin = call.DeadlineGrace + 50*time.Millisecond

// transport returns a transport whose idle connections are closed when the node
// stops. maxPerHost limits the connections to one host; zero sets no limit.
func (n *Node) transport(maxPerHost int) *http.Transport {
	t := hop.NewTransport(n.options.Network, maxPerHost)
	n.transports = append(n.transports, t)
	return t
}

func (n *Node) callerHandler() http.Handler {
	return caller.New(caller.Config{
		Tables:        n.tables,
		Clock:         n.options.Clock,
		PeerTransport: n.transport(0),
		CheckSend:     keyed.CheckSend,
		IdleTimeout:   n.options.Settings.Traffic.BodyIdle(),
		Dialect:       n.dialect(),
		Origin:        n.self.Service,
		Record:        n.record,
		Count: func(event caller.Event, reason verdict.Reason) {
			n.options.Metrics.Count(string(event), reason)
		},
		Stopping:        func() bool { return n.tables.Drain.Load().Stopping },
		RefuseOverQuota: n.refuseOverQuota,
		Refusing:        func() bool { return n.tables.Drain.Load().RefusesCallers(n.options.Clock.Now()) },
	}, n.sendPool)
}

// refuseOverQuota reads what the node holds of the quota of a request's account.
func (n *Node) refuseOverQuota(r call.Request) (refused call.Call, over bool) {
	t := n.tables
	return call.RefuseOverQuota(n.options.Clock.Now(), r, t.Routes.Load(), func(account mesh.AccountName) (lease decide.Lease) {
		t.Board.Do(func(tx *blackboard.Tx) { lease, _ = t.Leases.Get(tx, account) }, t.Leases.Read())
		return lease
	})
}

// peerMux returns the handler of the peers' listener. It serves callers' requests
// that other nodes forward, and requests between nodes: the control services under
// /twirp/, or with an adapter the approved configuration.
func (n *Node) peerMux() http.Handler {
	mux := http.NewServeMux()
	if n.options.Adapter == nil {
		n.registerControl(mux)
	} else {
		mux.Handle(approved.Path, &approved.Handler{Document: n.tables.Document})
	}
	forwarded, control := n.peerHandler(), http.MaxBytesHandler(mux, maxControlBodyBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hop.IsForwarded(r.Header) {
			forwarded.ServeHTTP(w, r)
			return
		}
		control.ServeHTTP(w, r)
	})
}

func (n *Node) peerHandler() http.Handler {
	backend := n.options.Settings.Backend
	h := &peer.Handler{
		Tables:         n.tables,
		Clock:          n.options.Clock,
		Host:           n.self.Host,
		Service:        n.self.Service,
		BackendAddress: backend.Address,
		Transport:      n.backendTransport(),
		IdleTimeout:    n.options.Settings.Traffic.BodyIdle(),
		Dialect:        n.dialect(),

		Count: func(reason verdict.Reason) { n.options.Metrics.Count(notAdmittedEvent, reason) },
		Record: func(request hop.Request, row admit.Request, failure *verdict.Error) {
			n.record.admitted(request, row, n.tables.Occupancy.Load(), failure)
		},
	}
	if n.options.Adapter != nil {
		h.Instance = n.backendInstance
		h.OnSent = func(s peer.SendResult) { n.reportBackendFailure(s.Instance, s.Failure) }
	}
	return h
}
