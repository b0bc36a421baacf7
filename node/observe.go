package node

import (
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/journal"
	"github.com/marigoldshelf/marigoldshelf/controllers/report"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// registerObserve adds the controllers that update metrics and log changes, and
// the I/O workers that write the log.
func (n *Node) registerObserve() {
	report.Register(n.pool, n.tables, n.options.Metrics)
	if n.options.Events != nil {
		record := controller.Register(n.pool, "record members", func(_ time.Time, id mesh.HostID) controller.Result {
			n.recordMember(id)
			return controller.Result{}
		})
		n.tables.Members.Watch(record.Add)
	}
	if buffer := n.options.LogBuffer; buffer != nil {
		flush := controller.Register(n.ioPool, "flush log", func(time.Time, int) controller.Result {
			n.flush(buffer)
			return controller.Result{}
		})
		buffer.OnPending(func() { flush.Add(0) })
	}
	if n.options.Logger == nil {
		return
	}
	journal.Register(n.pool, n.tables)
	outbox.ServeOneWay(n.ioPool, n.tables.Board, "write log", n.tables.LogLines, n.writeLine)
}

// recordMember logs the current membership state of another node.
func (n *Node) recordMember(id mesh.HostID) {
	var member mesh.Member
	var found bool
	n.tables.Board.Do(func(tx *blackboard.Tx) { member, found = n.tables.Members.Get(tx, id) }, n.tables.Members.Read())
	n.record.member(member, found)
}

// flush writes the buffered log lines. While the reader of the log stalls, it
// blocks one I/O worker.
func (n *Node) flush(buffer *logs.BoundedWriter) {
	dropped, err := buffer.Flush()
	if dropped > 0 {
		n.options.Metrics.Add("log_lines_dropped", int64(dropped))
	}
	if err != nil {
		n.options.Metrics.Add("log_write_failed", 1)
	}
}

func (n *Node) writeLine(_ string, line tables.LogLine) {
	part := n.options.Logger.Part(line.Part)
	if line.Warning {
		part.Warn(line.Message)
		return
	}
	part.Info(line.Message)
}

// operatorMux returns the handler of the operators' listener: the API, and the
// health, readiness and metrics pages, which need no credential.
func (n *Node) operatorMux(api http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, "") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, n.unreadyReason()) })
	if n.options.MetricsPage != nil {
		mux.Handle("GET /metrics", n.options.MetricsPage)
	}
	return mux
}

// unreadyReason returns why the node should not receive callers' requests, or an
// empty string if it should.
func (n *Node) unreadyReason() string {
	if n.tables.Routes.Load() == nil {
		if rejected := n.tables.Rejected.Load(); rejected.Reason != "" {
			return "no configuration is in force, the newest one was rejected: " + rejected.Reason
		}
		return "no configuration is in force"
	}
	state := n.tables.Drain.Load()
	if state.Stopping {
		return "stopping"
	}
	if state.Draining && n.options.Adapter == nil {
		return "draining"
	}
	return ""
}

// writeHealth responds with "ok", or with status 503 and the reason.
func writeHealth(w http.ResponseWriter, reason string) {
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	// The write fails only when the client has disconnected.
	_, _ = w.Write([]byte("ok\n"))
}
