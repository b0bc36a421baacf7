// Package keyclaim is the controller of idempotency keys at the node that
// received a request with one: it claims the key from the primary of the key's
// shard and reports to it how the attempt ended. It advances the rows of the
// table Claims and exchanges messages through KeyMessages and KeyReplies.
package keyclaim

import (
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// The prefixes of this controller's keys in KeyMessages and KeyReplies; the
// attempt follows.
const (
	claimPrefix = "claim:"
	endPrefix   = "end:"
)

// Register adds the controller to the pool; its key is the attempt.
func Register(p *controller.Pool, t *tables.Tables, c idempotency.Config) {
	r := reconciler{tables: t, config: c}
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

type reconciler struct {
	tables *tables.Tables
	config idempotency.Config
}

func (r reconciler) reconcile(now time.Time, attempt string) (result controller.Result) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { result.RequeueAfter = r.reconcileTx(tx, now, attempt) },
		t.Members.Read(), t.Claims.Write(), t.KeyMap.Read(), t.KeyMessages.Write(), t.KeyReplies.Write())
	return result
}

// reconcileTx applies the replies that arrived, refuses a claim that has timed
// out, and sends the message that is due. It deletes a claim whose end report
// was accepted, need not be sent, or has timed out. It returns the delay until
// the next call; zero for none.
func (r reconciler) reconcileTx(tx *blackboard.Tx, now time.Time, attempt string) time.Duration {
	t := r.tables
	claimReply, claimReplied := popReply(tx, t, claimPrefix+attempt)
	endReply, endReplied := popReply(tx, t, endPrefix+attempt)
	c, found := t.Claims.Get(tx, attempt)
	if !found {
		return 0
	}
	before := c
	if claimReplied {
		c = c.WithReply(now, r.config, claimReply.Reply)
	}
	if endReplied && endReply.EndAccepted {
		t.Claims.Delete(tx, attempt)
		return 0
	}
	if endReplied {
		c = c.WithReportFailure(now)
	}
	c, finished := c.CheckTimeouts(now, r.config)
	if finished {
		t.Claims.Delete(tx, attempt)
		return 0
	}
	if c.SendDue(now) && !r.sendPending(tx, c) {
		c = r.send(tx, now, c)
	}
	if c != before {
		t.Claims.Put(tx, attempt, c)
	}
	return c.NextCheckIn(now, r.config)
}

// popReply removes a reply from the inbox and returns it.
func popReply(tx *blackboard.Tx, t *tables.Tables, id string) (tables.KeyReply, bool) {
	reply, found := t.KeyReplies.Get(tx, id)
	if found {
		t.KeyReplies.Delete(tx, id)
	}
	return reply, found
}

func (r reconciler) sendPending(tx *blackboard.Tx, c idempotency.Claim) bool {
	_, found := r.tables.KeyMessages.Get(tx, sendID(c))
	return found
}

func sendID(c idempotency.Claim) string {
	if c.State == idempotency.ClaimEnded {
		return endPrefix + c.Attempt
	}
	return claimPrefix + c.Attempt
}

// send puts a claim or an end report for the primary of the key's shard into
// the outbox. If the primary or its address is unknown, it schedules another
// try.
func (r reconciler) send(tx *blackboard.Tx, now time.Time, c idempotency.Claim) idempotency.Claim {
	t := r.tables
	assignment := t.KeyMap.Get(tx).Map.Assignments[r.config.ShardOf(c.Key)]
	primary, found := t.Members.Get(tx, assignment.Primary.Host)
	if assignment.Epoch == 0 || !found {
		return c.WithSendFailure(now)
	}
	message := tables.KeyMessage{Address: primary.PeerAddress}
	if c.State == idempotency.ClaimEnded {
		message.End = c.Report(assignment.Primary)
	} else {
		message.Claim = c.Request(assignment.Primary)
		c = c.WithClaimSent(now)
	}
	t.KeyMessages.Put(tx, sendID(c), message)
	return c
}
