package controller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
)

const maxCalls = 100

func TestKeyQueuedTwiceIsCalledOnce(t *testing.T) {
	p := controller.NewPool(clock.NewVirtual(time.Unix(0, 0)), 1)
	var calls []string
	h := controller.Register(p, "c", func(_ time.Time, key string) controller.Result {
		calls = append(calls, key)
		return controller.Result{}
	})
	h.Add("a")
	h.Add("b")
	h.Add("a")
	must.Eq(t, 2, p.StepUntilIdle(maxCalls))
	must.Eq(t, []string{"a", "b"}, calls)
}

func TestKeyQueuedWhileItRunsIsCalledOnceMore(t *testing.T) {
	p := controller.NewPool(clock.NewVirtual(time.Unix(0, 0)), 1)
	calls := 0
	var h controller.Handle[string]
	h = controller.Register(p, "c", func(_ time.Time, key string) controller.Result {
		calls++
		if calls == 1 {
			h.Add(key)
			h.Add(key)
		}
		return controller.Result{}
	})
	h.Add("a")
	must.Eq(t, 2, p.StepUntilIdle(maxCalls))
}

func TestTimersFireInOrderOnAVirtualClock(t *testing.T) {
	virtual := clock.NewVirtual(time.Unix(0, 0))
	p := controller.NewPool(virtual, 1)
	var calls []string
	h := controller.Register(p, "c", func(now time.Time, key string) controller.Result {
		calls = append(calls, key)
		if key == "again" && len(calls) < 5 {
			return controller.Result{RequeueAfter: time.Second}
		}
		return controller.Result{}
	})
	h.AddAt("late", time.Unix(2, 0))
	h.AddAt("early", time.Unix(1, 0))
	h.AddAt("early", time.Unix(5, 0)) // no effect: the timer of 1 s is earlier
	h.Add("again")
	must.Eq(t, 1, p.StepUntilIdle(maxCalls))
	next, pending := p.NextTimer()
	must.True(t, pending)
	must.Eq(t, time.Unix(1, 0), next)
	virtual.Advance(time.Second)
	p.StepUntilIdle(maxCalls)
	virtual.Advance(time.Second)
	p.StepUntilIdle(maxCalls)
	must.Eq(t, []string{"again", "early", "again", "late", "again"}, calls)
	_, pending = p.NextTimer()
	must.False(t, pending)
}

func TestPoolNeverRunsAKeyTwiceAtOnceAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := controller.NewPool(clock.System{}, 8)
		var running, calls atomic.Int32
		var overlap atomic.Bool
		h := controller.Register(p, "c", func(time.Time, string) controller.Result {
			if running.Add(1) > 1 {
				overlap.Store(true)
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
			calls.Add(1)
			return controller.Result{RequeueAfter: time.Second}
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { p.Run(ctx); close(ended) }()
		for range 50 {
			h.Add("k")
			time.Sleep(100 * time.Microsecond)
		}
		time.Sleep(10 * time.Second)
		stop()
		<-ended
		must.False(t, overlap.Load())
		must.GreaterEq(t, 10, calls.Load()) // at least one call per second through Result.RequeueAfter
	})
}
