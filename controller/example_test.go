package controller_test

import (
	"fmt"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
)

// The controller sum is called for every changed row of orders and adds its
// amount to totals. The pool runs on the test's goroutine with a virtual clock.
func Example() {
	board := blackboard.New(blackboard.PanicOnNested())
	orders := blackboard.NewTable[string, int](board, "orders", 10)
	totals := blackboard.NewCell[int](board, "totals", 20)
	virtual := clock.NewVirtual(time.Unix(0, 0))
	pool := controller.NewPool(virtual, 4)

	handle := controller.Register(pool, "sum", func(now time.Time, key string) controller.Result {
		board.Do(func(tx *blackboard.Tx) {
			amount, _ := orders.Get(tx, key)
			totals.Set(tx, totals.Get(tx)+amount)
			orders.Delete(tx, key)
		}, orders.Write(), totals.Write())
		return controller.Result{}
	})
	orders.Watch(handle.Add)

	board.Do(func(tx *blackboard.Tx) {
		orders.Put(tx, "a", 3)
		orders.Put(tx, "b", 4)
	}, orders.Write())
	const limit = 100
	pool.StepUntilIdle(limit)
	fmt.Println(totals.Load(), board.LockOrder())
	// Output: 7 [orders totals]
}
