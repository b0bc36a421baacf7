package follow

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// tipRetry is the pause after the log did not say where it ends.
const tipRetry = 500 * time.Millisecond

// registerTip adds the controller by which a reader asks where the log ends:
// for its own floor, and for the started nodes that ask it. One question at a
// time serves all who wait.
func registerTip(p *controller.Pool, t *tables.Tables, c Config) {
	handle := controller.Register(p, "tip", func(now time.Time, s eventlog.Stream) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = askTip(tx, t, c, now, s) },
			t.Role.Read(), t.Feed.Write(), t.Floor.Read(), t.Pulls.Read(), t.BoundsAsks.Write(), t.BoundsResults.Write())
		return result
	})
	wake := func() { handle.Add(eventlog.Config) }
	t.BoundsResults.Watch(handle.Add)
	t.Role.Watch(wake)
	t.Pulls.Watch(func(string) { wake() })
	wake()
}

// askTip takes the answer that came, if any, and asks again where that is
// wanted. A failed answer stays in the inbox until its pause is over: deleting
// it would wake the controller at once.
func askTip(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time, s eventlog.Stream) controller.Result {
	if _, underWay := t.BoundsAsks.Get(tx, s); underWay {
		return controller.Result{}
	}
	result, came := t.BoundsResults.Get(tx, s)
	switch {
	case came && result.Err != nil && result.RetryAt.IsZero():
		feed := t.Feed.Get(tx)
		feed.LogFailing = true
		t.Feed.Set(tx, feed)
		result.RetryAt = now.Add(tipRetry)
		t.BoundsResults.Put(tx, s, result)
		return controller.Result{After: tipRetry}
	case came && now.Before(result.RetryAt):
		return controller.Result{After: result.RetryAt.Sub(now)}
	case came && result.Err == nil:
		t.Feed.Set(tx, t.Feed.Get(tx).WithTip(result.Bounds.Newest, result.Ask.At))
	}
	t.BoundsResults.Delete(tx, s)
	if t.Role.Get(tx).Reader && tipWanted(tx, t, c) {
		t.BoundsAsks.Put(tx, s, tables.BoundsAsk{At: now})
	}
	return controller.Result{}
}

func tipWanted(tx *blackboard.Tx, t *tables.Tables, c Config) bool {
	feed := t.Feed.Get(tx)
	if !t.Floor.Get(tx).Known && feed.Tip.At.Before(c.Started) {
		return true
	}
	wanted := false
	t.Pulls.Each(tx, func(_ string, p spread.Pull) bool {
		wanted = wanted || spread.WantsTip(p, feed)
		return !wanted
	})
	return wanted
}
