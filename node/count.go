package node

import (
	"github.com/marigoldshelf/marigoldshelf/front/caller"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// notAdmitted is the event of a request that the admission point turned away.
const notAdmitted = "not_admitted"

func (n *Node) countCall(event caller.Event, reason verdict.Reason) {
	n.options.Metrics.Count(string(event), reason)
}

func (n *Node) countAdmission(reason verdict.Reason) {
	n.options.Metrics.Count(notAdmitted, reason)
}
