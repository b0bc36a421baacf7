package blackboard_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
)

func TestTransactionLocksInRankOrder(t *testing.T) {
	b := blackboard.New(blackboard.PanicOnNested())
	low := blackboard.NewTable[string, int](b, "low", 1)
	high := blackboard.NewTable[string, int](b, "high", 2)
	must.Eq(t, []string{"low", "high"}, b.LockOrder())

	// Two goroutines list the tables against the lock order; a deadlock would
	// hang here.
	done := make(chan struct{})
	for range 2 {
		go func() {
			for range 1000 {
				b.Do(func(tx *blackboard.Tx) { low.Put(tx, "k", 1) }, high.Write(), low.Write())
				b.Do(func(tx *blackboard.Tx) { high.Put(tx, "k", 1) }, low.Read(), high.Write())
			}
			done <- struct{}{}
		}()
	}
	<-done
	<-done
}

func TestNestedTransactionPanics(t *testing.T) {
	b := blackboard.New(blackboard.PanicOnNested())
	high := blackboard.NewTable[string, int](b, "high", 2)
	low := blackboard.NewTable[string, int](b, "low", 1)
	must.Panic(t, func() {
		b.Do(func(*blackboard.Tx) {
			b.Do(func(tx *blackboard.Tx) { low.Put(tx, "k", 1) }, low.Write())
		}, high.Write())
	})
	// The locks were released despite the panic.
	b.Do(func(tx *blackboard.Tx) { high.Put(tx, "k", 1) }, high.Write(), low.Write())
}

func TestAccessThatWasNotListedPanics(t *testing.T) {
	b := blackboard.New(blackboard.PanicOnNested())
	listed := blackboard.NewTable[string, int](b, "named", 1)
	other := blackboard.NewTable[string, int](b, "other", 2)
	must.Panic(t, func() {
		b.Do(func(tx *blackboard.Tx) { other.Get(tx, "k") }, listed.Read())
	})
	must.Panic(t, func() {
		b.Do(func(tx *blackboard.Tx) { listed.Put(tx, "k", 1) }, listed.Read())
	})
}

func TestDuplicateRankPanics(t *testing.T) {
	b := blackboard.New()
	blackboard.NewTable[string, int](b, "one", 1)
	must.Panic(t, func() { blackboard.NewTable[string, int](b, "two", 1) })
}

func TestWatchersGetEachChangedKeyOnceInOrder(t *testing.T) {
	b := blackboard.New(blackboard.PanicOnNested())
	rows := blackboard.NewTable[string, int](b, "rows", 1)
	var keys []string
	rows.Watch(func(key string) { keys = append(keys, key) })
	b.Do(func(tx *blackboard.Tx) {
		rows.Put(tx, "b", 1)
		rows.Put(tx, "a", 1)
		rows.Put(tx, "b", 2)
		rows.Delete(tx, "missing")
	}, rows.Write())
	must.Eq(t, []string{"a", "b"}, keys)
}

func TestAwaitReturnsTheRowOrTheContextError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := blackboard.New()
		rows := blackboard.NewTable[string, int](b, "rows", 1)
		go func() {
			time.Sleep(time.Second)
			b.Do(func(tx *blackboard.Tx) { rows.Put(tx, "k", 7) }, rows.Write())
		}()
		isSet := func(_ int, found bool) bool { return found }
		row, err := rows.Await(t.Context(), "k", isSet)
		must.NoError(t, err)
		must.Eq(t, 7, row)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = rows.Await(ctx, "never", isSet)
		must.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
