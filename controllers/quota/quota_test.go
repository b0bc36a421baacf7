package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/calls"
	"github.com/marigoldshelf/marigoldshelf/controllers/quota"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	decide "github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// fixture is node "self" with the controllers of calls and quotas. The account "red"
// has a quota, and its granting node is the one other node; "blue" has none.
type fixture struct {
	t       *testing.T
	tables  *tables.Tables
	pool    *controller.Pool
	virtual *clock.Virtual
	count   int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, tables: tables.New(blackboard.New(blackboard.PanicOnNested())), virtual: clock.NewVirtual(time.Unix(1_700_000_000, 0))}
	f.pool = controller.NewPool(f.virtual, 1)
	calls.Register(f.pool, f.tables, calls.Config{Zone: "z", Random: rand.New(rand.NewPCG(1, 1))})
	quota.Register(f.pool, f.tables, quota.Config{Random: rand.New(rand.NewPCG(1, 2))})
	routes, faults := route.CompileApproved(mesh.ApprovedConfig{
		Version: 1,
		Routes: []mesh.Route{{
			Rule:               mesh.Rule{ID: "r", HostName: "h", PathPrefix: "/", Service: "desk", Class: mesh.Booking, DeadlineMillis: 2000},
			MaxBackendAttempts: 2,
		}},
		Accounts: []mesh.Account{
			{Name: "red", Keys: []mesh.KeyHash{mesh.HashKey("red")}, RatePerSecond: 10, Burst: 10},
			{Name: "blue", Keys: []mesh.KeyHash{mesh.HashKey("blue")}},
		},
	})
	must.SliceEmpty(t, faults)
	tb := f.tables
	tb.Board.Do(func(tx *blackboard.Tx) {
		tb.Routes.Set(tx, routes)
		self := tb.Self.Get(tx)
		self.Member = mesh.Member{Host: "self", Zone: "z", State: mesh.Leaving}
		tb.Self.Set(tx, self)
		tb.Members.Put(tx, "self", self.Member)
		other := mesh.Member{Host: "other", Zone: "z", State: mesh.Alive, ProbeAddress: "10.0.0.2:7", PeerAddress: "10.0.0.2:8"}
		tb.Members.Put(tx, "other", other)
		tb.Endpoints.Put(tx, "desk", []mesh.Member{other})
	}, tb.Routes.Write(), tb.Members.Write(), tb.Self.Write(), tb.Endpoints.Write())
	f.step()
	return f
}

func (f *fixture) step() { must.Less(f.t, 1000, f.pool.StepUntilIdle(1000)) }

func (f *fixture) advance(d time.Duration) {
	f.virtual.Advance(d)
	f.step()
}

func (f *fixture) request(account string) (id string) {
	f.count++
	id = fmt.Sprint(account, f.count)
	now := f.virtual.Now()
	c := call.Call{Request: call.Request{ID: id, HostName: "h", Path: "/", Arrived: now, BodyBuffered: true, Key: mesh.HashKey(account)}}
	tb := f.tables
	tb.Board.Do(func(tx *blackboard.Tx) { tb.Calls.Put(tx, id, c) }, tb.Calls.Write())
	f.step()
	return id
}

func (f *fixture) call(id string) (c call.Call) {
	tb := f.tables
	tb.Board.Do(func(tx *blackboard.Tx) { c, _ = tb.Calls.Get(tx, id) }, tb.Calls.Read())
	return c
}

// sent removes and returns the messages of the outbox.
func (f *fixture) sent() (messages []decide.Message) {
	tb := f.tables
	tb.Board.Do(func(tx *blackboard.Tx) {
		tb.QuotaMessagesOut.Each(tx, func(n uint64, e decide.Envelope) bool {
			messages = append(messages, e.Message)
			tb.QuotaMessagesOut.Delete(tx, n)
			return true
		})
	}, tb.QuotaMessagesOut.Write())
	return messages
}

func (f *fixture) receive(m decide.Message) {
	f.count++
	tb := f.tables
	tb.Board.Do(func(tx *blackboard.Tx) {
		tb.QuotaMessagesIn.Put(tx, uint64(f.count), decide.Envelope{Address: "10.0.0.2:7", Message: m})
	}, tb.QuotaMessagesIn.Write())
	f.step()
}

// Guards against a message, or a row in the tables of quotas, for a call whose
// account has none.
func TestCallWithoutQuotaUsesNothingOfQuotas(t *testing.T) {
	f := newFixture(t)
	must.Len(t, 1, f.call(f.request("blue")).Attempts)
	must.SliceEmpty(t, f.sent())
	tb := f.tables
	tb.Board.Do(func(tx *blackboard.Tx) {
		must.Zero(t, tb.Leases.Len(tx))
		must.Zero(t, tb.LeaseRequests.Len(tx))
	}, tb.Leases.Read(), tb.LeaseRequests.Read())
}

// Guards against a waiting call that is not woken by its token, against one
// datagram for each waiting call, and against an answer that counts twice.
func TestAnswerWakesTheWaitingCalls(t *testing.T) {
	f := newFixture(t)
	ids := []string{f.request("red"), f.request("red"), f.request("red")}
	asked := f.sent()
	must.Len(t, 1, asked)
	must.Eq(t, decide.Message{Kind: decide.Ask, From: "", Sequence: 1, Account: "red", Count: 1}, withoutFrom(asked[0]))
	answer := decide.Message{Kind: decide.Answer, From: "other", Sequence: asked[0].Sequence, Account: "red", Count: 2, Wait: time.Second}
	f.receive(answer)
	must.Len(t, 1, f.call(ids[0]).Attempts)
	must.Len(t, 1, f.call(ids[1]).Attempts)
	last := f.call(ids[2])
	must.Eq(t, verdict.OverQuota, last.Step.Refusal.Reason, must.Sprint("no other zone can lend"))
	must.Eq(t, time.Second, last.Step.RetryAfter)
	f.receive(answer)
	must.Eq(t, verdict.OverQuota, f.call(f.request("red")).Step.Refusal.Reason, must.Sprint("refused at once, the answer counted once"))
	must.SliceEmpty(t, f.sent())
}

func withoutFrom(m decide.Message) decide.Message {
	m.From = ""
	return m
}

// Guards against a call that waits until its deadline for a granting node that does
// not answer, and against rows that are kept for idle accounts.
func TestCallIsRefusedWhenNoGrantingNodeAnswers(t *testing.T) {
	f := newFixture(t)
	id := f.request("red")
	f.advance(decide.AnswerTimeout - time.Millisecond)
	must.Eq(t, call.Wait, f.call(id).Step.Kind)
	f.advance(time.Millisecond)
	c := f.call(id)
	must.Eq(t, verdict.QuotaUnavailable, c.Step.Refusal.Reason)
	must.Eq(t, verdict.NotRun, c.Step.Refusal.Verdict)
	tb := f.tables
	rows := func() (count int) {
		tb.Board.Do(func(tx *blackboard.Tx) { count = tb.Leases.Len(tx) + tb.LeaseRequests.Len(tx) + tb.Buckets.Len(tx) },
			tb.Leases.Read(), tb.LeaseRequests.Read(), tb.Buckets.Read())
		return count
	}
	must.Positive(t, rows())
	f.advance(decide.IdleTimeout)
	f.advance(decide.IdleTimeout)
	must.Zero(t, rows())
}

// Guards against a node that grants tokens although it is not the granting node, and
// against silence, which would cost the asking node a timeout.
func TestNodeThatIsNotTheGrantingNodeSaysSo(t *testing.T) {
	f := newFixture(t)
	f.receive(decide.Message{Kind: decide.Ask, From: "other", Sequence: 9, Account: "red", Count: 3})
	sent := f.sent()
	must.Len(t, 1, sent)
	must.Eq(t, decide.Message{Kind: decide.NotGranting, Sequence: 9, Account: "red"}, withoutFrom(sent[0]))
}
