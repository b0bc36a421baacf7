package blackboard

import (
	"fmt"
	"sort"
)

// lockable is the part of a table, independent of its types, that a transaction
// uses.
type lockable interface {
	tableName() string
	tableRank() Rank
	lock(write bool)
	unlock(write bool)
	takeChanges() func()
}

// Access is the access of a transaction to one table, made by the table's Read
// or Write.
type Access struct {
	table lockable
	write bool
}

// Tx is a running transaction. It is valid only inside the function passed to
// Board.Do, on the same goroutine.
type Tx struct {
	held []Access
}

// newTx returns a transaction that will lock the tables in rank order. It panics
// when a table is listed twice, which could deadlock.
func newTx(access []Access) *Tx {
	held := append([]Access(nil), access...)
	sort.Slice(held, func(i, j int) bool {
		return held[i].table.tableRank() < held[j].table.tableRank()
	})
	for i := 1; i < len(held); i++ {
		if held[i].table == held[i-1].table {
			panic("blackboard: table listed twice in a transaction: " + held[i].table.tableName())
		}
	}
	return &Tx{held: held}
}

func (tx *Tx) lock() {
	for _, a := range tx.held {
		a.table.lock(a.write)
	}
}

// finish releases the locks in reverse order, then notifies watchers and waiters
// of the changes. It is deferred, so the locks are released even when the
// transaction's function panics.
func (tx *Tx) finish() {
	notifications := make([]func(), 0, len(tx.held))
	for _, a := range tx.held {
		if !a.write {
			continue
		}
		if notify := a.table.takeChanges(); notify != nil {
			notifications = append(notifications, notify)
		}
	}
	for i := len(tx.held) - 1; i >= 0; i-- {
		tx.held[i].table.unlock(tx.held[i].write)
	}
	for _, notify := range notifications {
		notify()
	}
}

// checkAccess panics unless the transaction holds the table, for writing if
// write is set.
func (tx *Tx) checkAccess(table lockable, write bool) {
	for _, a := range tx.held {
		if a.table != table {
			continue
		}
		if write && !a.write {
			panic(fmt.Sprintf("blackboard: write to table %s in a transaction with read access", table.tableName()))
		}
		return
	}
	panic(fmt.Sprintf("blackboard: table %s is not listed by this transaction", table.tableName()))
}
