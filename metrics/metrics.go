// Package metrics names the counters of a node: one for each reason that a
// request was refused, failed or tried again.
package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Metrics writes a node's counters to a tally scope. It is safe for concurrent
// use.
type Metrics struct {
	scope tally.Scope
}

// New returns metrics that go to scope.
func New(scope tally.Scope) *Metrics { return &Metrics{scope: scope} }

// Count adds one to the counter of an event for a reason. Events are
// "refused", "attempt_failed" (at the node that took the request) and
// "not_admitted" (at the node beside the backend server).
func (m *Metrics) Count(event string, reason verdict.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(event).Inc(1)
}
