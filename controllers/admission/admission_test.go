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
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Guards against a queued request that is refused too late, or never, when the
// backend server hangs: no request finishes, so only the controller's own timer
// can call it. The refusal must come while it can still reach the caller.
func TestQueuedRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	time0 := time.Unix(1_700_000_000, 0)
	virtual := clock.NewVirtual(time0)
	pool := controller.NewPool(virtual, 1)
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	admission.Register(pool, board, admission.Config{})
	admission.SetInitialLimits(board, time0, admit.Limits{Slots: 1, Queue: 2, PriorityOnly: true})
	put := func(r admit.Request) {
		board.Board.Do(func(tx *blackboard.Tx) { board.Admissions.Put(tx, r.ID, r) }, board.Admissions.Write())
		pool.StepUntilIdle(100)
	}
	get := func(id string) (r admit.Request) {
		board.Board.Do(func(tx *blackboard.Tx) { r, _ = board.Admissions.Get(tx, id) }, board.Admissions.Read())
		return r
	}
	request := func(id string) admit.Request {
		now := virtual.Now()
		return admit.Request{ID: id, Class: mesh.Booking, Arrived: now, Deadline: now.Add(time.Second), State: admit.Waiting}
	}
	// After one request of 400 ms, the estimated 10th percentile of the service
	// time is 200 ms.
	put(request("learned"))
	virtual.Advance(400 * time.Millisecond)
	done := get("learned")
	done.State, done.ResponseComplete = admit.Finished, true
	put(done)
	put(request("stuck"))
	put(request("behind"))
	must.Eq(t, admit.Granted, get("stuck").State)
	virtual.Advance(790 * time.Millisecond)
	pool.StepUntilIdle(100)
	must.Eq(t, admit.Waiting, get("behind").State)
	virtual.Advance(20 * time.Millisecond)
	pool.StepUntilIdle(100)
	must.Eq(t, admit.Refused, get("behind").State)
	must.Eq(t, verdict.DeadlineTooShort, get("behind").Reason)
}

// A backend server of 9 slots whose requests take longer the more of them run,
// under constant overload. Guards against a limit that is not learned with the
// setting on, and against one that is with the setting off.
func TestLimitIsLearnedOnlyWhereEnabled(t *testing.T) {
	run := func(learns bool) (lowest int, load mesh.Load) {
		time0 := time.Unix(1_700_000_000, 0)
		virtual := clock.NewVirtual(time0)
		pool := controller.NewPool(virtual, 1)
		board := tables.New(blackboard.New(blackboard.PanicOnNested()))
		admission.Register(pool, board, admission.Config{LearnsLimit: func() bool { return learns }})
		admission.SetInitialLimits(board, time0, admit.Limits{Slots: 9, Queue: 36, PriorityOnly: true})
		lowest = 9
		next := 0
		for step := range 3000 { // 10 ms each
			now := virtual.Now()
			board.Board.Do(func(tx *blackboard.Tx) {
				waiting := 0
				board.Admissions.Each(tx, func(id string, r admit.Request) bool {
					took := 20 * time.Millisecond * time.Duration(max(1, r.BusyAtGrant*r.BusyAtGrant/4))
					if r.State == admit.Granted && now.Sub(r.Granted) >= took {
						r.State, r.ResponseComplete = admit.Finished, true
						board.Admissions.Put(tx, id, r)
					}
					if r.State == admit.Waiting {
						waiting++
					}
					return true
				})
				for ; waiting < 5; waiting++ {
					next++
					id := strconv.Itoa(next)
					board.Admissions.Put(tx, id, admit.Request{ID: id, Class: mesh.Booking, Arrived: now,
						Deadline: now.Add(time.Minute), State: admit.Waiting})
				}
			}, board.Admissions.Write())
			pool.StepUntilIdle(1000)
			virtual.Advance(10 * time.Millisecond)
			pool.StepUntilIdle(1000)
			load = board.Occupancy.Load()
			if step > 200 {
				lowest = min(lowest, load.Slots)
			}
		}
		return lowest, load
	}
	lowest, load := run(true)
	must.LessEq(t, 6, lowest)
	must.Positive(t, load.Speeds[mesh.Booking.Index()])
	lowest, load = run(false)
	must.Eq(t, 9, lowest)
	must.Eq(t, [mesh.NumClasses]int{}, load.Speeds)
}
