package node

import (
	"context"
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/controllers/keyclaim"
	"github.com/marigoldshelf/marigoldshelf/controllers/keyhome"
	"github.com/marigoldshelf/marigoldshelf/controllers/keymap"
	"github.com/marigoldshelf/marigoldshelf/controllers/keyplan"
	"github.com/marigoldshelf/marigoldshelf/controllers/keysync"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/encoding/keys"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/front/keyed"
	"github.com/marigoldshelf/marigoldshelf/front/keypeer"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// keyTimeout limits one request to a peer about idempotency keys.
	keyTimeout = 500 * time.Millisecond
	// keyWorkers is the number of I/O workers that send these requests. They
	// have a pool of their own, so that unresponsive peers delay nothing else.
	keyWorkers = 32
)

// registerKeys adds the controllers of idempotency keys.
func (n *Node) registerKeys() {
	t := n.tables
	config := idempotency.DefaultConfig()
	self := idempotency.HolderOf(n.self)
	logread.Register(n.pool, t, eventlog.KeysStream, keymap.Consumer{
		Tables: t, Clock: n.options.Clock, Config: config, Self: self,
	})
	keyplan.Register(n.pool, t, keyplan.Config{
		KeyConfig: config, Self: self, StartedAt: n.options.Clock.Now(),
		Count: func(k idempotency.ChangeKind) { n.options.Metrics.Count("key_holders", verdict.Reason(k)) },
	})
	keysync.Register(n.pool, t, config)
	keyhome.Register(n.pool, t, config)
	keyclaim.Register(n.pool, t, config)
}

// registerKeyIO adds the I/O workers that send requests about idempotency keys.
func (n *Node) registerKeyIO(ctx context.Context) {
	t := n.tables
	client := &http.Client{Transport: n.transport(0), Timeout: keyTimeout}
	outbox.Serve(ctx, n.keyPool, t.Board, "send keys", t.KeyMessages, t.KeyReplies,
		func(ctx context.Context, _ string, m tables.KeyMessage) tables.KeyReply {
			return keypeer.Send(ctx, client, m)
		})
}

// registerKeyControl adds the control service of idempotency keys to the peers'
// listener.
func (n *Node) registerKeyControl(mux *http.ServeMux) {
	server := keys.NewKeysServer(keypeer.Service{Tables: n.tables})
	mux.Handle(server.PathPrefix(), server)
}

// keyedHandler returns a handler that claims the idempotency key of a request
// before it calls next.
func (n *Node) keyedHandler(next http.Handler) http.Handler {
	return &keyed.Handler{
		Tables:      n.tables,
		Clock:       n.options.Clock,
		Config:      idempotency.DefaultConfig(),
		IdleTimeout: n.options.Settings.Traffic.BodyIdle(),
		Next:        next,
		Count:       n.options.Metrics.Count,
	}
}
