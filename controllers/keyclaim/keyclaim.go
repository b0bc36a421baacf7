// Package keyclaim is the controller of the node that took a request with an
// idempotency key: it claims the key at its home and reports how the attempt
// ended.
package keyclaim

import (
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// The prefixes of this controller's outbox keys; the attempt follows.
const (
	claimPrefix = "claim:"
	endPrefix   = "end:"
)

// Register adds the controller; its key is the attempt.
func Register(p *controller.Pool, t *tables.Tables, c idempotency.Config) {
	r := asker{tables: t, config: c}
	handle := controller.Register(p, "keyclaim", r.reconcile)
	t.Claims.Watch(handle.Add)
	t.KeyReplies.Watch(func(id string) {
		for _, prefix := range []string{claimPrefix, endPrefix} {
			if attempt, found := strings.CutPrefix(id, prefix); found {
				handle.Add(attempt)
			}
		}
	})
}

type asker struct {
	tables *tables.Tables
	config idempotency.Config
}

func (r asker) reconcile(now time.Time, attempt string) (result controller.Result) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { result.After = r.step(tx, now, attempt) },
		t.Members.Read(), t.Claims.Write(), t.KeyMap.Read(), t.KeySends.Write(), t.KeyReplies.Write())
	return result
}

// step takes what came back, ends what is out of time, and sends what is due.
func (r asker) step(tx *blackboard.Tx, now time.Time, attempt string) time.Duration {
	t := r.tables
	claimed, claimReplied := take(tx, t, claimPrefix+attempt)
	reported, endReplied := take(tx, t, endPrefix+attempt)
	c, found := t.Claims.Get(tx, attempt)
	if !found {
		return 0
	}
	before := c
	if claimReplied {
		c = c.Replied(now, r.config, claimed.Reply)
	}
	if endReplied && reported.Taken {
		t.Claims.Delete(tx, attempt)
		return 0
	}
	if endReplied {
		c = c.NotReported(now)
	}
	c, useless := c.Settle(now, r.config)
	if useless {
		t.Claims.Delete(tx, attempt)
		return 0
	}
	if c.Due(now) && !r.underWay(tx, c) {
		c = r.send(tx, now, c)
	}
	if c != before {
		t.Claims.Put(tx, attempt, c)
	}
	return c.Next(now, r.config)
}

func take(tx *blackboard.Tx, t *tables.Tables, id string) (tables.KeyReply, bool) {
	reply, came := t.KeyReplies.Get(tx, id)
	if came {
		t.KeyReplies.Delete(tx, id)
	}
	return reply, came
}

func (r asker) underWay(tx *blackboard.Tx, c idempotency.Claim) bool {
	_, found := r.tables.KeySends.Get(tx, sendID(c))
	return found
}

func sendID(c idempotency.Claim) string {
	if c.State == idempotency.Ended {
		return endPrefix + c.Attempt
	}
	return claimPrefix + c.Attempt
}

// send writes to the key's home, if it is known who that is.
func (r asker) send(tx *blackboard.Tx, now time.Time, c idempotency.Claim) idempotency.Claim {
	t := r.tables
	a := t.KeyMap.Get(tx).Map.Assignments[r.config.ShardOf(c.Key)]
	home, known := t.Members.Get(tx, a.Primary.Host)
	if a.Epoch == 0 || !known {
		return c.Unsent(now)
	}
	message := tables.KeySend{Address: home.PeerAddress}
	if c.State == idempotency.Ended {
		message.End = c.Report(a.Primary)
	} else {
		message.Claim = c.Request(a.Primary)
		c = c.Sent(now)
	}
	t.KeySends.Put(tx, sendID(c), message)
	return c
}
