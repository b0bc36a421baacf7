// Package clientload accounts for the memory that client connections hold, in the
// table ClientHoldings, and closes the connections of the outbox ClientCloses. The
// decisions are in decide/clientload.
package clientload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/clients"
	decide "github.com/marigoldshelf/marigoldshelf/decide/clientload"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// reserveBytes is the unit in which a connection reserves memory. It is what a
// connection without a request holds at least: with 64 KiB, some hundred idle
// connections of ordinary callers filled the memory of all clients.
const reserveBytes = 16 << 10

// Listener is a listener whose connections a ledger accounts for.
type Listener struct {
	Name  string
	Group decide.Group
}

// Reasons that the counter of limited clients has.
const (
	ReasonConnectionFull verdict.Reason = "connection_bytes"
	ReasonNodeFull       verdict.Reason = "node_bytes"
	ReasonConnections    verdict.Reason = "connections"
	ReasonHeaderLines    verdict.Reason = "header_lines"
	ReasonClosed         verdict.Reason = "closed"
)

// Ledger accounts for the connections of all listeners of a node. Create it with
// New.
type Ledger struct {
	Tables *tables.Tables
	Clock  clock.Clock
	Limits decide.Limits
	// Count increments the counter of limited clients.
	Count func(verdict.Reason)

	lastID   atomic.Uint64
	accounts sync.Map // uint64 -> *Account
}

// Conn is a connection that a ledger accounts for.
type Conn interface {
	// GiveWay ends the connection for the sake of others, without blocking. It returns
	// false, and the connection stays, if a request of it runs and its client reads.
	GiveWay() bool
}

// New returns a ledger that closes connections on the workers of pool. It is
// called before the pool runs.
func New(pool *controller.Pool, t *tables.Tables, c clock.Clock, limits decide.Limits, count func(verdict.Reason)) *Ledger {
	l := &Ledger{Tables: t, Clock: c, Limits: limits, Count: count}
	handle := controller.Register(pool, "close client connections", func(_ time.Time, id uint64) controller.Result {
		l.close(id)
		return controller.Result{}
	})
	t.ClientCloses.Watch(handle.Add)
	observe := controller.Register(pool, "observe client connections", func(time.Time, int) controller.Result {
		l.observe()
		return controller.Result{}
	})
	t.ClientRelief.Watch(func() { observe.Add(0) })
	return l
}

// observe writes what connections wait for into their rows of ClientHoldings once a
// small holder was refused.
func (l *Ledger) observe() {
	t := l.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		relief := t.ClientRelief.Get(tx)
		if relief.Observed == relief.Requested {
			return
		}
		for _, e := range clients.Entries(tx, t) {
			value, exists := l.accounts.Load(e.ID)
			if !exists {
				continue // it is ending
			}
			if wait := value.(*Account).wait(); wait != e.Wait {
				e.Wait = wait
				t.ClientHoldings.Put(tx, e.ID, e.Holding)
			}
		}
		relief.Observed = relief.Requested
		t.ClientRelief.Set(tx, relief)
	}, t.ClientHoldings.Write(), t.ClientRelief.Write())
}

// increase decides on n more bytes of a connection and counts them in the load. The
// transaction writes ClientLoad and ClientRelief.
func (l *Ledger) increase(tx *blackboard.Tx, h decide.Holding, n int64) decide.Decision {
	t := l.Tables
	loads := t.ClientLoad.Get(tx)
	refusals := loads[h.Group].Refusals
	var decision decide.Decision
	decision, loads[h.Group] = l.Limits.ForGroup(h.Group).Increase(loads[h.Group], h, n)
	t.ClientLoad.Set(tx, loads)
	if now := loads[h.Group].Refusals; now != refusals {
		relief := t.ClientRelief.Get(tx)
		relief.Requested[h.Group] = now
		t.ClientRelief.Set(tx, relief)
	}
	return decision
}

// close closes a connection of ClientCloses.
func (l *Ledger) close(id uint64) {
	t := l.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.ClientCloses.Delete(tx, id) }, t.ClientCloses.Write())
	value, exists := l.accounts.Load(id)
	if !exists {
		return // it has ended
	}
	if a := value.(*Account); a.conn.GiveWay() {
		l.Count(ReasonClosed)
		return
	}
	t.Board.Do(func(tx *blackboard.Tx) {
		if row, found := t.ClientHoldings.Get(tx, id); found {
			row.Closing = false
			t.ClientHoldings.Put(tx, id, row)
		}
	}, t.ClientHoldings.Write())
}

// Account is the account of one connection. Its methods are safe for concurrent
// use. A nil account grants everything.
type Account struct {
	ledger *Ledger
	group  decide.Group
	id     uint64
	conn   Conn
	served atomic.Bool
	// idleSince is when the connection last held nothing but itself; nil while it
	// holds more.
	idleSince atomic.Pointer[time.Time]
	// receivingSince and sendingSince are those of decide.Wait; nil for zero.
	receivingSince, sendingSince atomic.Pointer[time.Time]

	mu             sync.Mutex
	held, reserved int64
	ended          bool
}

// Open opens the account of a new connection to a listener that accepts limit
// connections. It returns false if the connection is refused.
func (l *Ledger) Open(listener Listener, limit int, conn Conn) (*Account, bool) {
	group, held := listener.Group, listener.Group.ConnectionBytes()
	reserved := roundUp(held)
	a := &Account{ledger: l, group: group, id: l.lastID.Add(1), conn: conn, held: held, reserved: reserved}
	reason := verdict.Reason("")
	l.accounts.Store(a.id, a)
	t := l.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		var victim uint64
		found, accepted := false, true
		if t.ClientLoad.Get(tx)[group].Connections >= limit { // else the listener has fewer than limit
			victim, found, accepted = decide.SelectForNew(l.Clock.Now(), l.withIdle(clients.Entries(tx, t)), listener.Name, limit)
		}
		if found {
			clients.MarkClosing(tx, t, victim)
		}
		if !accepted {
			reason = ReasonConnections
			return
		}
		row := decide.Holding{Listener: listener.Name, Group: group, Since: l.Clock.Now()}
		if l.increase(tx, row, reserved) != decide.Granted {
			reason = ReasonNodeFull
			return
		}
		row.Bytes = reserved
		t.ClientHoldings.Put(tx, a.id, row)
		loads := t.ClientLoad.Get(tx)
		loads[group].Connections++
		t.ClientLoad.Set(tx, loads)
	}, t.ClientHoldings.Write(), t.ClientLoad.Write(), t.ClientRelief.Write(), t.ClientCloses.Write())
	if reason != "" {
		l.accounts.Delete(a.id)
		l.Count(reason)
		return nil, false
	}
	return a, true
}

// Charge charges n bytes before they are allocated. It returns false and charges
// nothing if the connection cannot hold more.
func (a *Account) Charge(n int64) bool {
	if a == nil || n == 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return false
	}
	if a.held+n > a.reserved && !a.reserve(roundUp(a.held+n-a.reserved)) {
		return false
	}
	a.held += n
	a.idleSince.Store(nil)
	return true
}

// roundUp returns the units that n bytes need, in bytes.
func roundUp(n int64) int64 { return (n + reserveBytes - 1) / reserveBytes * reserveBytes }

// reserve adds n bytes to the reservation; negative n returns them. The caller
// holds mu.
func (a *Account) reserve(n int64) bool {
	l, t := a.ledger, a.ledger.Tables
	var decision decide.Decision
	t.Board.Do(func(tx *blackboard.Tx) {
		row, _ := t.ClientHoldings.Get(tx, a.id)
		if n > 0 {
			decision = l.increase(tx, row, n)
		} else {
			loads := t.ClientLoad.Get(tx)
			loads[a.group].Bytes += n
			t.ClientLoad.Set(tx, loads)
		}
		if decision == decide.Granted {
			row.Bytes += n
			row.Since = l.Clock.Now()
			t.ClientHoldings.Put(tx, a.id, row)
		}
	}, t.ClientHoldings.Write(), t.ClientLoad.Write(), t.ClientRelief.Write())
	switch decision {
	case decide.ConnectionFull:
		l.Count(ReasonConnectionFull)
	case decide.NodeFull:
		l.Count(ReasonNodeFull)
	default:
		a.reserved += n
	}
	return decision == decide.Granted
}

// keptUnits is the number of unused units that a connection keeps while clients
// hold less than a part of the total, so that a request that follows another takes
// no transaction.
const (
	keptUnits       = 4
	keptTotalsShare = 4 // keptUnits are kept below a quarter of the total
)

// Release returns n bytes.
func (a *Account) Release(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= n
	if a.ended {
		return
	}
	if a.held <= a.group.ConnectionBytes() {
		now := a.ledger.Clock.Now()
		a.idleSince.Store(&now)
	}
	kept := int64(keptUnits)
	if l := a.ledger; l.Tables.ClientLoad.Load()[a.group].Bytes > l.Limits.ForGroup(a.group).TotalBytes/keptTotalsShare {
		kept = 0
	}
	if unused := (a.reserved - a.held) / reserveBytes; unused > kept {
		a.reserve(-(unused - kept/2) * reserveBytes)
	}
}

// SetReceiving notes whether the node waits for the rest of a request that has not
// run.
func (a *Account) SetReceiving(receiving bool) {
	if a != nil {
		a.setSince(&a.receivingSince, receiving)
	}
}

// SetSending notes whether the node waits for the client to take bytes.
func (a *Account) SetSending(sending bool) {
	if a != nil {
		a.setSince(&a.sendingSince, sending)
	}
}

func (a *Account) setSince(since *atomic.Pointer[time.Time], waits bool) {
	if !waits {
		since.Store(nil)
		return
	}
	if since.Load() == nil {
		now := a.ledger.Clock.Now()
		since.Store(&now)
	}
}

// Reads reports whether the client takes the bytes that the node sends.
func (a *Account) Reads() bool { return a == nil || a.wait().Reads(a.ledger.Clock.Now()) }

func (a *Account) wait() (w decide.Wait) {
	if since := a.receivingSince.Load(); since != nil {
		w.ReceivingSince = *since
	}
	if since := a.sendingSince.Load(); since != nil {
		w.SendingSince = *since
	}
	return w
}

// withIdle sets IdleSince of the entries.
func (l *Ledger) withIdle(entries []decide.Entry) []decide.Entry {
	for i, e := range entries {
		if value, exists := l.accounts.Load(e.ID); exists {
			if since := value.(*Account).idleSince.Load(); since != nil {
				entries[i].IdleSince = *since
			}
		}
	}
	return entries
}

// MarkServed notes that a complete request was received. Only the first call has
// an effect.
func (a *Account) MarkServed() {
	if a == nil || a.served.Swap(true) {
		return
	}
	t := a.ledger.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if row, found := t.ClientHoldings.Get(tx, a.id); found {
			row.Served = true
			t.ClientHoldings.Put(tx, a.id, row)
		}
	}, t.ClientHoldings.Write())
}

// RequestBytes returns the memory of a request in flight without its header lines
// and its body.
func (a *Account) RequestBytes() int64 {
	if a == nil {
		return 0
	}
	return a.group.RequestBytes()
}

// HeaderLines returns the limit on the header lines of a request; zero means none.
func (a *Account) HeaderLines() int {
	if a == nil {
		return 0
	}
	return a.ledger.Limits.HeaderLines
}

// CountHeaderLines counts a request with too many header lines.
func (a *Account) CountHeaderLines() { a.ledger.Count(ReasonHeaderLines) }

// Close returns everything that the connection holds. Further calls have no
// effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.ledger.accounts.Delete(a.id)
	t := a.ledger.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		loads := t.ClientLoad.Get(tx)
		loads[a.group].Bytes -= a.reserved
		loads[a.group].Connections--
		t.ClientLoad.Set(tx, loads)
		t.ClientHoldings.Delete(tx, a.id)
	}, t.ClientHoldings.Write(), t.ClientLoad.Write())
}
