package node

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/controllers/calls"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

// Reload applies the traffic settings of s while the node runs. The other
// settings are bound to open ports and to the node's identity: a change of them
// is logged and takes effect with the next start. It is safe for concurrent use.
func (n *Node) Reload(s settings.Settings) {
	old := n.options.Settings
	old.Traffic = *n.traffic.Load()
	updated := s.Traffic
	n.traffic.Store(&updated)
	n.record.reloaded(old.Traffic, updated, !old.EqualExceptTraffic(s))
}

// ReloadFailed logs that a changed settings file is invalid. The current
// settings stay in use.
func (n *Node) ReloadFailed(cause error) { n.record.reloadRejected(cause) }

// sharedBudget returns the retry budget that all nodes share.
func (n *Node) sharedBudget() calls.SharedRetryBudget {
	t := n.traffic.Load()
	return calls.SharedRetryBudget{Ratio: t.RetryRatio, ExtraRetries: t.RetryExtra}
}

// stopWithin returns the time from the stop signal to the kill of the process;
// zero if the process is not killed.
func (n *Node) stopWithin() time.Duration { return time.Duration(n.traffic.Load().StopWithin) }

func (r recorder) reloaded(old, updated settings.Traffic, restartNeeded bool) {
	if e := r.events.Line(logs.StateChange, partSettings); e != nil {
		e.Float64("retry_ratio_was", old.RetryRatio).Float64("retry_ratio", updated.RetryRatio).
			Float64("retry_extra_was", old.RetryExtra).Float64("retry_extra", updated.RetryExtra).
			Bool("learned_limits_was", old.LearnedLimits).Bool("learned_limits", updated.LearnedLimits).
			Bool("restart_needed", restartNeeded).Msg("settings taken")
	}
}

func (r recorder) reloadRejected(cause error) {
	if e := r.events.Line(logs.StateChange, partSettings); e != nil {
		e.Str("cause", cause.Error()).Msg("settings rejected, the old ones stay")
	}
}
