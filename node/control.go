package node

import "net/http"

// registerControl adds the nodes' control services to the peers' listener.
func (n *Node) registerControl(mux *http.ServeMux) {
	n.registerKeyControl(mux)
}
