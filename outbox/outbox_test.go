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

const settleLimit = 100

// post is a board with one outbox, stepped by hand.
type post struct {
	board *blackboard.Board
	out   *blackboard.Table[string, int]
	in    *blackboard.Table[string, int]
	pool  *controller.Pool
}

func newPost(send outbox.Send[string, int, int]) post {
	b := blackboard.New(blackboard.CheckOrder())
	p := post{
		board: b,
		out:   blackboard.NewTable[string, int](b, "out", 1),
		in:    blackboard.NewTable[string, int](b, "in", 2),
		pool:  controller.New(clock.NewVirtual(time.Unix(0, 0)), 1),
	}
	outbox.Serve(context.Background(), p.pool, b, "post", p.out, p.in, send)
	return p
}

func (p post) put(key string, value int) {
	p.board.Do(func(tx *blackboard.Tx) { p.out.Put(tx, key, value) }, p.out.Write())
}

func (p post) left() (rows int) {
	p.board.Do(func(tx *blackboard.Tx) { rows = p.out.Len(tx) }, p.out.Read())
	return rows
}

func (p post) result(key string) (value int) {
	p.board.Do(func(tx *blackboard.Tx) { value, _ = p.in.Get(tx, key) }, p.in.Read())
	return value
}

func TestRowIsSentOnceAndItsResultFiled(t *testing.T) {
	var sent []int
	p := newPost(func(_ context.Context, _ string, v int) int { sent = append(sent, v); return -v })
	p.put("a", 1)
	p.put("b", 2)
	p.pool.Settle(settleLimit)
	must.Eq(t, []int{1, 2}, sent)
	must.Eq(t, -1, p.result("a"))
	must.Eq(t, -2, p.result("b"))
	must.Zero(t, p.left())
}

func TestRowReplacedWhileItIsSentIsSentToo(t *testing.T) {
	var sent []int
	var p post
	p = newPost(func(_ context.Context, key string, v int) int {
		sent = append(sent, v)
		if v == 1 {
			p.put(key, 2) // no lock is held here, or this would panic
		}
		return v
	})
	p.put("a", 1)
	p.pool.Settle(settleLimit)
	must.Eq(t, []int{1, 2}, sent)
	must.Eq(t, 2, p.result("a"))
	must.Zero(t, p.left())
}

func TestRowTakenBackIsNotSent(t *testing.T) {
	p := newPost(func(context.Context, string, int) int { t.Error("sent"); return 0 })
	p.put("a", 1)
	p.board.Do(func(tx *blackboard.Tx) { p.out.Delete(tx, "a") }, p.out.Write())
	p.pool.Settle(settleLimit)
}
