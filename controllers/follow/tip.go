package follow

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// tipRetryDelay is the delay after a failed request for the log's bounds.
const tipRetryDelay = 500 * time.Millisecond

// registerTip adds the controller with which a reader asks the log for its newest
// offset. The reader needs it for its own floor and to answer other nodes that
// have started and ask for theirs. One request at a time serves all that wait.
func registerTip(p *controller.Pool, t *tables.Tables, c Config) {
	handle := controller.Register(p, "tip", func(now time.Time, s eventlog.Stream) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = requestTip(tx, t, c, now, s) },
			t.Role.Read(), t.Feed.Write(), t.Floor.Read(), t.IncomingPulls.Read(), t.BoundsRequests.Write(), t.BoundsResults.Write())
		return result
	})
	requeue := func() { handle.Add(eventlog.ConfigStream) }
	t.BoundsResults.Watch(handle.Add)
	t.Role.Watch(requeue)
	t.IncomingPulls.Watch(func(string) { requeue() })
	requeue()
}

// requestTip applies the answer in the inbox, if there is one, and requests the
// bounds again if they are needed. A failed answer stays in the inbox until its
// retry delay is over, because deleting it would queue the controller at once.
func requestTip(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time, s eventlog.Stream) controller.Result {
	if _, pending := t.BoundsRequests.Get(tx, s); pending {
		return controller.Result{}
	}
	result, found := t.BoundsResults.Get(tx, s)
	switch {
	case found && result.Err != nil && result.RetryAt.IsZero():
		feed := t.Feed.Get(tx)
		feed.LogFailing = true
		t.Feed.Set(tx, feed)
		result.RetryAt = now.Add(tipRetryDelay)
		t.BoundsResults.Put(tx, s, result)
		return controller.Result{RequeueAfter: tipRetryDelay}
	case found && now.Before(result.RetryAt):
		return controller.Result{RequeueAfter: result.RetryAt.Sub(now)}
	case found && result.Err == nil:
		t.Feed.Set(tx, t.Feed.Get(tx).WithTip(result.Bounds.Newest, result.Request.RequestedAt))
	}
	t.BoundsResults.Delete(tx, s)
	if t.Role.Get(tx).ReadsLog && needsTip(tx, t, c) {
		t.BoundsRequests.Put(tx, s, tables.BoundsRequest{RequestedAt: now})
	}
	return controller.Result{}
}

func needsTip(tx *blackboard.Tx, t *tables.Tables, c Config) bool {
	feed := t.Feed.Get(tx)
	if !t.Floor.Get(tx).Known && feed.Tip.At.Before(c.StartedAt) {
		return true
	}
	wanted := false
	t.IncomingPulls.Each(tx, func(_ string, p distribution.IncomingPull) bool {
		wanted = wanted || distribution.NeedsTip(p, feed)
		return !wanted
	})
	return wanted
}
