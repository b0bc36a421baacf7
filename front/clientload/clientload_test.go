package clientload_test

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	decide "github.com/marigoldshelf/marigoldshelf/decide/clientload"
	"github.com/marigoldshelf/marigoldshelf/front/clientload"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// idleConn is a connection without a request.
type idleConn struct{}

func (idleConn) GiveWay() bool { return true }

var callers = clientload.Listener{Name: "callers", Group: decide.Callers}

// TestEverythingIsReturned charges and releases on many connections at once. It
// guards against memory that stays charged after its connection has ended.
func TestEverythingIsReturned(t *testing.T) {
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	limits := decide.Limits{TotalBytes: 4 << 20, ConnectionBytes: 1 << 20}
	ledger := clientload.New(controller.NewPool(clock.System{}, 1), board, clock.System{}, limits, func(verdict.Reason) {})
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			account, accepted := ledger.Open(callers, 30, idleConn{})
			if !accepted {
				return
			}
			for n := range int64(200) {
				if size := (n*7919 + int64(i)) % (300 << 10); account.Charge(size) {
					must.LessEq(t, limits.TotalBytes, board.ClientLoad.Load()[decide.Callers].Bytes)
					account.Release(size)
				}
			}
			account.Close()
			account.Close()
			must.False(t, account.Charge(1))
		})
	}
	group.Wait()
	load := board.ClientLoad.Load()[decide.Callers]
	must.Eq(t, 0, load.Bytes)
	must.Eq(t, 0, load.Connections)
}

// Guards against ordinary callers' connections that are closed in the middle of a
// request because some hundred idle ones keep what their last request needed.
func TestIdleConnectionsLeaveRoomForRequests(t *testing.T) {
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	limits := decide.Limits{TotalBytes: 32 << 20, ConnectionBytes: 8 << 20}
	var limited []verdict.Reason
	ledger := clientload.New(controller.NewPool(clock.System{}, 1), board, clock.System{}, limits, func(r verdict.Reason) { limited = append(limited, r) })
	for range 500 {
		account, accepted := ledger.Open(callers, 512, idleConn{})
		must.True(t, accepted)
		for range 3 {
			must.True(t, account.Charge(decide.Callers.RequestBytes()))
			account.Release(decide.Callers.RequestBytes())
		}
	}
	must.SliceEmpty(t, limited)
	must.Less(t, limits.ForGroup(decide.Callers).TotalBytes*3/4, board.ClientLoad.Load()[decide.Callers].Bytes)
}
