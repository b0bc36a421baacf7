package node

import (
	"net/http"

	messages "github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/front/distrib"
)

// registerControl adds the nodes' control services to the peers' listener.
func (n *Node) registerControl(mux *http.ServeMux) {
	n.registerKeyControl(mux)
	service := messages.NewDistributionServer(n.distribution())
	mux.Handle(service.PathPrefix(), service)
}

func (n *Node) distribution() *distrib.Server {
	return &distrib.Server{Tables: n.tables, Clock: n.options.Clock}
}
