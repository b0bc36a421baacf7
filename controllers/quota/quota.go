// Package quota has the controllers of the client accounts' quotas: at each node
// the requests for tokens and the calls that wait for them, and at an account's
// granting node the token bucket. The rules are in package decide/quota. Messages
// to other nodes go into the outbox QuotaMessagesOut, received ones come from the
// inbox QuotaMessagesIn.
package quota

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Config holds the parameters of the controllers.
type Config struct {
	// Zones is the number of zones of the deployment; zero if it is not known.
	Zones int
	// Random is used only under the write lock of the table LeaseRequests.
	Random *rand.Rand
	// Add adds to a counter, inside a transaction; nil ignores it.
	Add func(counter string, n int64)
}

// The counters passed to Config.Add.
const (
	// CounterGranted counts the tokens granted to nodes of the own zone.
	CounterGranted = "quota_tokens_granted"
	// CounterLent counts the tokens granted to nodes of other zones.
	CounterLent = "quota_tokens_lent"
	// CounterAsked counts the requests for tokens.
	CounterAsked = "quota_requests"
	// CounterUnanswered counts the requests for tokens without an answer in time.
	CounterUnanswered = "quota_requests_unanswered"
)

// singletonKey is the only key of controllers whose work is not split by key.
const singletonKey = 0

type reconciler struct {
	*tables.Tables
	Config
}

// Register adds the controllers to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	if c.Add == nil {
		c.Add = func(string, int64) {}
	}
	r := reconciler{t, c}
	requests := controller.Register(p, "quota", r.reconcile)
	t.LeaseRequests.Watch(requests.Add)
	messages := controller.Register(p, "quota message", r.receive)
	t.QuotaMessagesIn.Watch(messages.Add)
	duty := controller.Register(p, "quota duty", r.updateDuty)
	t.Members.Watch(func(mesh.HostID) { duty.Add(singletonKey) })
	t.Self.Watch(func() { duty.Add(singletonKey) })
	sweep := controller.Register(p, "quota idle rows", r.deleteIdle)
	addSweep := func(mesh.AccountName) { sweep.AddAt(singletonKey, p.Now().Add(quota.IdleTimeout)) }
	t.LeaseRequests.Watch(addSweep)
	t.Buckets.Watch(addSweep)
}

// updateDuty updates QuotaDuty after a change of the membership.
func (r reconciler) updateDuty(now time.Time, _ int) controller.Result {
	r.Board.Do(func(tx *blackboard.Tx) {
		members := make([]mesh.Member, 0, r.Members.Len(tx))
		known := make(map[string]bool, r.Members.Len(tx))
		r.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
			members = append(members, m)
			known[m.ProbeAddress] = true
			return true
		})
		unknown := 0
		r.JoinAddresses.Each(tx, func(address string, _ uint64) bool {
			if !known[address] {
				unknown++
			}
			return true
		})
		duty := r.QuotaDuty.Get(tx)
		duty.ConfiguredZones = r.Zones
		r.QuotaDuty.Set(tx, duty.Update(now, r.Self.Get(tx), members, unknown))
	}, r.Members.Read(), r.Self.Read(), r.JoinAddresses.Read(), r.QuotaDuty.Write())
	return controller.Result{}
}

// reconcile moves the request for an account's tokens on.
func (r reconciler) reconcile(now time.Time, name mesh.AccountName) (result controller.Result) {
	r.inRequestTransaction(func(tx *blackboard.Tx) { result = r.advance(tx, now, name) })
	return result
}

func (r reconciler) inRequestTransaction(fn func(*blackboard.Tx), more ...blackboard.Access) {
	r.Board.Do(fn, append(more, r.Routes.Read(), r.Self.Read(), r.QuotaDuty.Read(), r.Leases.Write(), r.LeaseRequests.Write(),
		r.Buckets.Write(), r.Calls.Write(), r.QuotaMessagesOut.Write(), r.QuotaMessageCount.Write())...)
}

// advance decides about the calls that wait for a token, and asks the next granting
// node. It writes the row only if it has changed.
func (r reconciler) advance(tx *blackboard.Tx, now time.Time, name mesh.AccountName) controller.Result {
	request, found := r.LeaseRequests.Get(tx, name)
	if !found {
		return controller.Result{}
	}
	lease, _ := r.Leases.Get(tx, name)
	duty := r.QuotaDuty.Get(tx)
	account := r.account(tx, name)
	for {
		waited := request.DueAt()
		if !account.HasQuota() {
			r.release(tx, request.Waiting)
			r.LeaseRequests.Delete(tx, name)
			return controller.Result{}
		}
		next, changed, decided, ask := request.Next(now, lease, account, duty, r.Random)
		lease = r.apply(tx, now, changed, decided)
		if !waited.IsZero() && !now.Before(waited) {
			r.Add(CounterUnanswered, 1)
		}
		request = next
		if ask == 0 {
			break
		}
		r.Add(CounterAsked, 1)
		message := quota.Message{Kind: quota.Ask, From: duty.Self.Host, Account: name, Count: ask, Loan: !request.Asked.Home}
		if request.Asked.Host != duty.Self.Host {
			request.Sequence = r.send(tx, request.Asked.Address, message)
			break
		}
		message.Sequence = request.Sequence
		request, lease = request.Answer(now, lease, r.grant(tx, now, message))
	}
	r.Leases.Put(tx, name, lease)
	if len(request.Waiting) == 0 && request.Asked.Host == "" {
		r.LeaseRequests.Delete(tx, name)
		return controller.Result{}
	}
	if old, _ := r.LeaseRequests.Get(tx, name); request.SentAt != old.SentAt || request.Asked != old.Asked || len(request.Waiting) != len(old.Waiting) {
		r.LeaseRequests.Put(tx, name, request)
	}
	return controller.Result{RequeueAfter: max(request.DueAt().Sub(now), time.Microsecond)}
}

func (r reconciler) account(tx *blackboard.Tx, name mesh.AccountName) mesh.Account {
	if routes := r.Routes.Get(tx); routes != nil {
		account, _ := routes.Account(name)
		return account
	}
	return mesh.Account{}
}

// apply writes the decisions into the calls. The token of a call that has ended
// goes back to the lease.
func (r reconciler) apply(tx *blackboard.Tx, now time.Time, lease quota.Lease, decided []quota.Decided) quota.Lease {
	for _, d := range decided {
		c, found := r.Calls.Get(tx, d.ID)
		if !found || c.Ended {
			if d.Outcome == quota.Granted {
				lease = lease.Return(now, d.Expires)
			}
			continue
		}
		r.Calls.Put(tx, d.ID, c.WithToken(d.Decision))
	}
	return lease
}

// release lets the calls go on whose account has no quota any more.
func (r reconciler) release(tx *blackboard.Tx, ids []string) {
	for _, id := range ids {
		if c, found := r.Calls.Get(tx, id); found {
			c.Token = call.Token{}.Unlimited()
			r.Calls.Put(tx, id, c)
		}
	}
}

// send puts a message into the outbox and returns its sequence number. A message
// without one gets the number of its row.
func (r reconciler) send(tx *blackboard.Tx, address string, m quota.Message) uint64 {
	number := r.QuotaMessageCount.Get(tx) + 1
	r.QuotaMessageCount.Set(tx, number)
	if m.Sequence == 0 {
		m.Sequence = number
	}
	r.QuotaMessagesOut.Put(tx, number, quota.Envelope{Address: address, Message: m})
	return m.Sequence
}

// receive handles one message of the inbox.
func (r reconciler) receive(now time.Time, number uint64) controller.Result {
	var envelope quota.Envelope
	found := false
	r.Board.Do(func(tx *blackboard.Tx) {
		envelope, found = r.QuotaMessagesIn.Get(tx, number)
		r.QuotaMessagesIn.Delete(tx, number)
	}, r.QuotaMessagesIn.Write())
	m := envelope.Message
	switch {
	case !found:
	case m.Kind == quota.Ask:
		r.Board.Do(func(tx *blackboard.Tx) { r.send(tx, envelope.Address, r.grant(tx, now, m)) },
			r.Routes.Read(), r.Self.Read(), r.QuotaDuty.Read(), r.Buckets.Write(), r.QuotaMessagesOut.Write(), r.QuotaMessageCount.Write())
	default:
		r.inRequestTransaction(func(tx *blackboard.Tx) { r.answer(tx, now, m) })
	}
	return controller.Result{}
}

// grant answers a request for tokens as a granting node.
func (r reconciler) grant(tx *blackboard.Tx, now time.Time, m quota.Message) quota.Message {
	bucket, _ := r.Buckets.Get(tx, m.Account)
	answer, bucket, granting := r.QuotaDuty.Get(tx).Grant(now, r.Self.Get(tx), r.account(tx, m.Account), bucket, m)
	if !granting {
		return answer
	}
	r.Buckets.Put(tx, m.Account, bucket)
	if m.Loan {
		r.Add(CounterLent, int64(answer.Count))
	} else {
		r.Add(CounterGranted, int64(answer.Count))
	}
	return answer
}

// answer applies the answer of a granting node. The watcher of LeaseRequests
// moves the request on.
func (r reconciler) answer(tx *blackboard.Tx, now time.Time, m quota.Message) {
	request, found := r.LeaseRequests.Get(tx, m.Account)
	if !found {
		return
	}
	lease, _ := r.Leases.Get(tx, m.Account)
	if next, changed := request.Answer(now, lease, m); next.Asked != request.Asked || next.Late != request.Late {
		r.LeaseRequests.Put(tx, m.Account, next)
		r.Leases.Put(tx, m.Account, changed)
	}
}

// deleteIdle deletes the rows of accounts without requests.
func (r reconciler) deleteIdle(now time.Time, _ int) (result controller.Result) {
	r.Board.Do(func(tx *blackboard.Tx) {
		zones := r.QuotaDuty.Get(tx).Zones
		r.Leases.Each(tx, func(name mesh.AccountName, l quota.Lease) bool {
			if l.Idle(now) {
				r.Leases.Delete(tx, name)
			}
			return true
		})
		r.Buckets.Each(tx, func(name mesh.AccountName, b quota.Bucket) bool {
			if a := r.account(tx, name); !a.HasQuota() || b.Idle(now, quota.ZoneRefill(a, zones)) {
				r.Buckets.Delete(tx, name)
			}
			return true
		})
		if r.Leases.Len(tx)+r.Buckets.Len(tx) > 0 {
			result.RequeueAfter = quota.IdleTimeout
		}
	}, r.Routes.Read(), r.QuotaDuty.Read(), r.Leases.Write(), r.Buckets.Write())
	return result
}
