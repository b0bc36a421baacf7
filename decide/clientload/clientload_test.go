package clientload_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/clientload"
)

var limits = clientload.Limits{TotalBytes: 32 << 20, ConnectionBytes: 8 << 20}

// TestIncreaseKeepsReserveForSmallHolders guards against large holders that take
// the memory of ordinary callers.
func TestIncreaseKeepsReserveForSmallHolders(t *testing.T) {
	load := clientload.Load{Bytes: 24 << 20, Connections: 100}
	large := clientload.Holding{Bytes: 4 << 20}
	decision, next := limits.Increase(load, large, 64<<10)
	must.Eq(t, clientload.NodeFull, decision)
	must.Eq(t, load, next, must.Sprint("a refused large holder changes nothing"))

	decision, next = limits.Increase(load, clientload.Holding{Bytes: 64 << 10}, 64<<10)
	must.Eq(t, clientload.Granted, decision)
	must.Eq(t, load.Bytes+64<<10, next.Bytes)

	load.Bytes = limits.TotalBytes
	decision, next = limits.Increase(load, clientload.Holding{}, 64<<10)
	must.Eq(t, clientload.NodeFull, decision)
	must.Eq(t, 1, next.Refusals, must.Sprint("a refused small holder asks for relief"))

	decision, _ = limits.Increase(clientload.Load{}, clientload.Holding{Bytes: 8 << 20}, 1)
	must.Eq(t, clientload.ConnectionFull, decision)
}

// TestSelectStalled guards against closing connections whose requests run, against
// closing ordinary callers before large holders, and against closing more than needed.
func TestSelectStalled(t *testing.T) {
	now := time.Unix(1000, 0)
	receiving := clientload.Wait{ReceivingSince: now.Add(-time.Second)}
	sending := clientload.Wait{SendingSince: now.Add(-3 * time.Second)}
	entry := func(id uint64, bytes int64, since int, w clientload.Wait) clientload.Entry {
		return clientload.Entry{ID: id, Holding: clientload.Holding{Bytes: bytes, Since: now.Add(time.Duration(since)), Wait: w}}
	}
	closing := entry(4, 8<<20, 0, receiving)
	closing.Closing = true
	entries := []clientload.Entry{
		entry(1, 64<<10, 0, receiving),
		entry(2, 8<<20, 1, sending),
		entry(3, 8<<20, 0, receiving),
		closing,
		entry(5, 8<<20, 2, receiving),
		entry(6, 7<<20, 0, receiving),
	}
	must.Eq(t, []uint64{3}, limits.SelectStalled(now, entries))
	must.SliceEmpty(t, limits.SelectStalled(now, entries[:3]))

	for i := range entries {
		entries[i].Wait = clientload.Wait{}
	}
	must.SliceEmpty(t, limits.SelectStalled(now, entries), must.Sprint("running requests"))
	entries[0].Wait = receiving
	must.Eq(t, []uint64{1}, limits.SelectStalled(now, entries), must.Sprint("the only one that stalls"))
	entries[0].ReceivingSince = now.Add(-time.Millisecond)
	must.SliceEmpty(t, limits.SelectStalled(now, entries), must.Sprint("a request that has just begun"))
}

// TestSelectForNew guards against silent connections that lock callers out.
func TestSelectForNew(t *testing.T) {
	now := time.Unix(0, 0)
	entries := []clientload.Entry{
		{ID: 1, Holding: clientload.Holding{Listener: "callers", Served: true, Since: now}},
		{ID: 2, Holding: clientload.Holding{Listener: "callers", Since: now.Add(2)}},
		{ID: 3, Holding: clientload.Holding{Listener: "callers", Since: now.Add(1)}},
		{ID: 4, Holding: clientload.Holding{Listener: "reports", Since: now}},
	}
	_, found, accept := clientload.SelectForNew(now.Add(time.Minute), entries, "callers", 4)
	must.False(t, found)
	must.True(t, accept)
	victim, found, accept := clientload.SelectForNew(now.Add(time.Minute), entries, "callers", 3)
	must.True(t, found)
	must.True(t, accept)
	must.Eq(t, 3, victim)
	_, found, accept = clientload.SelectForNew(now.Add(time.Minute), entries[:1], "callers", 1)
	must.False(t, found)
	must.False(t, accept)
}

// Guards against a new connection that makes another new one give way, and ends its
// request: after a burst of callers with a connection for each request, the listener
// is full of idle ones.
func TestNewConnectionsTakeThePlaceOfIdleOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	served := func(id uint64, idleSince time.Time) clientload.Entry {
		return clientload.Entry{ID: id, Holding: clientload.Holding{Listener: "callers", Served: true}, IdleSince: idleSince}
	}
	fresh := clientload.Entry{ID: 9, Holding: clientload.Holding{Listener: "callers", Since: now.Add(-10 * time.Millisecond)}}
	entries := []clientload.Entry{served(1, time.Time{}), fresh, served(2, now.Add(-time.Second)), served(3, now.Add(-4*time.Second))}
	victim, found, accept := clientload.SelectForNew(now, entries, "callers", 4)
	must.True(t, found)
	must.True(t, accept)
	must.Eq(t, 3, victim)
	victim, _, _ = clientload.SelectForNew(now, entries[:2], "callers", 2)
	must.Eq(t, 9, victim)
	_, _, accept = clientload.SelectForNew(now, entries[:1], "callers", 1)
	must.False(t, accept, must.Sprint("a connection with a request in flight stays"))
}
