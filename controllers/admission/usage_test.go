package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/admission"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Guards against memory for accounts that grows with their number or outlasts
// their requests, and against rows where no request has an account.
func TestUsageOfAccountsIsBoundedAndForgotten(t *testing.T) {
	time0 := time.Unix(1_700_000_000, 0)
	virtual := clock.NewVirtual(time0)
	pool := controller.NewPool(virtual, 1)
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	admission.Register(pool, board, admission.Config{})
	admission.SetInitialLimits(board, time0, admit.Limits{Slots: 1000, Queue: 10, PriorityOnly: true})
	run := func(id string, account mesh.AccountName) {
		now := virtual.Now()
		r := admit.Request{ID: id, Class: mesh.Booking, Account: account, Arrived: now, Deadline: now.Add(time.Second), State: admit.Waiting}
		for _, state := range []admit.State{admit.Waiting, admit.Finished} {
			r.State = state
			board.Board.Do(func(tx *blackboard.Tx) { board.Admissions.Put(tx, id, r) }, board.Admissions.Write())
			pool.StepUntilIdle(100)
		}
	}
	rows := func() (count int) {
		board.Board.Do(func(tx *blackboard.Tx) { count = board.AccountUsage.Len(tx) }, board.AccountUsage.Read())
		return count
	}
	run("none", "")
	must.Zero(t, rows())
	for i := range 300 {
		run(strconv.Itoa(i), mesh.AccountName("account-"+strconv.Itoa(i)))
	}
	must.Eq(t, 256, rows())
	for range 4 {
		virtual.Advance(admit.UsageRetention)
		pool.StepUntilIdle(100)
	}
	must.Zero(t, rows())
}
