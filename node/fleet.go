package node

import (
	"github.com/marigoldshelf/marigoldshelf/controllers/announce"
	"github.com/marigoldshelf/marigoldshelf/controllers/endpoints"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/platform"
)

// registerFleet adds the controllers of membership and of where requests go.
func (n *Node) registerFleet() error {
	t := n.tables
	logread.Register(n.pool, t, platform.Members, announce.Consumer{Tables: t})
	endpoints.Register(n.pool, t)
	return announce.Register(n.pool, t, n.self)
}
