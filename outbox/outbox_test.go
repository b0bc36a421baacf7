package outbox_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/outbox"
)

const maxCalls = 100

// harness has a board with one outbox and one inbox, and a pool that the test
// steps.
type harness struct {
	board *blackboard.Board
	out   *blackboard.Table[string, int]
	in    *blackboard.Table[string, int]
	pool  *controller.Pool
}

func newHarness(send outbox.SendFunc[string, int, int]) harness {
	b := blackboard.New(blackboard.PanicOnNested())
	p := harness{
		board: b,
		out:   blackboard.NewTable[string, int](b, "out", 1),
		in:    blackboard.NewTable[string, int](b, "in", 2),
		pool:  controller.NewPool(clock.NewVirtual(time.Unix(0, 0)), 1),
	}
	outbox.Serve(context.Background(), p.pool, b, "post", p.out, p.in, send)
	return p
}

func (p harness) put(key string, value int) {
	p.board.Do(func(tx *blackboard.Tx) { p.out.Put(tx, key, value) }, p.out.Write())
}

func (p harness) outboxRows() (rows int) {
	p.board.Do(func(tx *blackboard.Tx) { rows = p.out.Len(tx) }, p.out.Read())
	return rows
}

func (p harness) result(key string) (value int) {
	p.board.Do(func(tx *blackboard.Tx) { value, _ = p.in.Get(tx, key) }, p.in.Read())
	return value
}

func TestRowIsSentOnceAndItsResultStored(t *testing.T) {
	var sent []int
	p := newHarness(func(_ context.Context, _ string, v int) int { sent = append(sent, v); return -v })
	p.put("a", 1)
	p.put("b", 2)
	p.pool.StepUntilIdle(maxCalls)
	must.Eq(t, []int{1, 2}, sent)
	must.Eq(t, -1, p.result("a"))
	must.Eq(t, -2, p.result("b"))
	must.Zero(t, p.outboxRows())
}

func TestRowReplacedDuringSendIsSentAgain(t *testing.T) {
	var sent []int
	var p harness
	p = newHarness(func(_ context.Context, key string, v int) int {
		sent = append(sent, v)
		if v == 1 {
			p.put(key, 2) // PanicOnNested panics here if send runs inside a transaction
		}
		return v
	})
	p.put("a", 1)
	p.pool.StepUntilIdle(maxCalls)
	must.Eq(t, []int{1, 2}, sent)
	must.Eq(t, 2, p.result("a"))
	must.Zero(t, p.outboxRows())
}

func TestDeletedRowIsNotSent(t *testing.T) {
	p := newHarness(func(context.Context, string, int) int { t.Error("sent"); return 0 })
	p.put("a", 1)
	p.board.Do(func(tx *blackboard.Tx) { p.out.Delete(tx, "a") }, p.out.Write())
	p.pool.StepUntilIdle(maxCalls)
}
