package blackboard

import (
	"fmt"
	"sort"
)

// lockable is the part of a table that a transaction needs.
type lockable interface {
	tableName() string
	tableRank() Rank
	lock(write bool)
	unlock(write bool)
	takeChanges() func()
}

// Access names a table that a transaction needs, and whether it writes there.
type Access struct {
	table lockable
	write bool
}

// Tx is a running transaction. It is valid only inside the function given to
// Board.Do, on that goroutine.
type Tx struct {
	held []Access
}

func newTx(access []Access) *Tx {
	held := append([]Access(nil), access...)
	sort.Slice(held, func(i, j int) bool {
		return held[i].table.tableRank() < held[j].table.tableRank()
	})
	for i := 1; i < len(held); i++ {
		if held[i].table == held[i-1].table {
			panic("blackboard: table named twice: " + held[i].table.tableName())
		}
	}
	return &Tx{held: held}
}

func (tx *Tx) lock() {
	for _, a := range tx.held {
		a.table.lock(a.write)
	}
}

// finish releases the locks in reverse order, then announces the changes. The
// locks are released even when the transaction's function panicked.
func (tx *Tx) finish() {
	announcements := make([]func(), 0, len(tx.held))
	for _, a := range tx.held {
		if !a.write {
			continue
		}
		if announce := a.table.takeChanges(); announce != nil {
			announcements = append(announcements, announce)
		}
	}
	for i := len(tx.held) - 1; i >= 0; i-- {
		tx.held[i].table.unlock(tx.held[i].write)
	}
	for _, announce := range announcements {
		announce()
	}
}

// mustHold panics unless the transaction holds the table with enough access.
func (tx *Tx) mustHold(table lockable, write bool) {
	for _, a := range tx.held {
		if a.table != table {
			continue
		}
		if write && !a.write {
			panic(fmt.Sprintf("blackboard: table %s is held for reading only", table.tableName()))
		}
		return
	}
	panic(fmt.Sprintf("blackboard: table %s is not held by this transaction", table.tableName()))
}
