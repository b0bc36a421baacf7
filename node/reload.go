package node

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/controllers/calls"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

// Reload takes changed settings into use while the node runs: those of
// traffic. The others are bound to open ports and to the node's identity; a
// change of them is recorded and waits for the next start. It is safe for
// concurrent use.
func (n *Node) Reload(s settings.Settings) {
	old := n.options.Settings
	old.Traffic = *n.traffic.Load()
	fresh := s.Traffic
	n.traffic.Store(&fresh)
	n.record.reloaded(old.Traffic, fresh, !old.SameStart(s))
}

// RejectReload records that a changed settings file has faults; the settings in
// use stay.
func (n *Node) RejectReload(cause error) { n.record.reloadRejected(cause) }

// sharedBudget is what all nodes together may send again.
func (n *Node) sharedBudget() calls.SharedBudget {
	t := n.traffic.Load()
	return calls.SharedBudget{Ratio: t.RetryRatio, Extra: t.RetryExtra}
}

// stopWithin is how long after the signal to stop the process is killed.
func (n *Node) stopWithin() time.Duration { return time.Duration(n.traffic.Load().StopWithin) }

func (r recorder) reloaded(old, fresh settings.Traffic, waits bool) {
	if e := r.events.Line(logs.Belief, partSettings); e != nil {
		e.Float64("retry_ratio_was", old.RetryRatio).Float64("retry_ratio", fresh.RetryRatio).
			Float64("retry_extra_was", old.RetryExtra).Float64("retry_extra", fresh.RetryExtra).
			Bool("restart_needed", waits).Msg("settings taken")
	}
}

func (r recorder) reloadRejected(cause error) {
	if e := r.events.Line(logs.Belief, partSettings); e != nil {
		e.Str("cause", cause.Error()).Msg("settings rejected, the old ones stay")
	}
}
