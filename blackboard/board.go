// Package blackboard implements the shared state of a node: typed in-memory
// tables that controllers, front ends and I/O workers read and write in
// transactions.
//
// Every table has a rank. Rows are read and written only inside a transaction
// (Board.Do), which lists the tables it accesses. Their locks are taken in rank
// order regardless of the order in the list, so transactions cannot deadlock.
// Nested transactions would break the lock order; a board made with
// PanicOnNested panics when one starts.
//
// When a transaction ends, its locks are released first, and then the watchers
// of each table are called with the changed keys. A row is a value: readers get
// a copy, and data that a row points to is not modified after the row was put.
package blackboard

import (
	"bytes"
	"fmt"
	"runtime"
	"sort"
	"strconv"
	"sync"
)

// Rank is a table's position in the lock order; lower ranks are locked first.
// It is unique within a board.
type Rank int

// Option configures a Board.
type Option func(*Board)

// PanicOnNested makes the board panic when a goroutine starts a transaction
// inside another one. It costs a stack walk for each transaction, so tests use
// it and daemons do not.
func PanicOnNested() Option {
	return func(b *Board) { b.checkOrder = true }
}

// Board is a set of tables with a common lock order. It is safe for concurrent
// use.
type Board struct {
	checkOrder    bool
	inTransaction sync.Map // goroutine ID -> struct{}

	mu    sync.Mutex
	ranks map[Rank]string
}

// New returns an empty board.
func New(options ...Option) *Board {
	b := &Board{ranks: make(map[Rank]string)}
	for _, option := range options {
		option(b)
	}
	return b
}

// LockOrder returns the names of the tables in lock order.
func (b *Board) LockOrder() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ranks := make([]int, 0, len(b.ranks))
	for rank := range b.ranks {
		ranks = append(ranks, int(rank))
	}
	sort.Ints(ranks)
	names := make([]string, 0, len(ranks))
	for _, rank := range ranks {
		names = append(names, b.ranks[Rank(rank)])
	}
	return names
}

// reserveRank registers the table's name under the rank. It panics when another
// table has that rank.
func (b *Board) reserveRank(rank Rank, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if other, taken := b.ranks[rank]; taken {
		panic(fmt.Sprintf("blackboard: tables %s and %s share rank %d", other, name, rank))
	}
	b.ranks[rank] = name
}

// Do runs fn as a transaction with the listed tables locked. fn must not block,
// do I/O or call Do again. Watchers of the rows that fn changed are called
// after the locks are released, before Do returns.
func (b *Board) Do(fn func(*Tx), access ...Access) {
	if b.checkOrder {
		defer b.enterTransaction()()
	}
	tx := newTx(access)
	tx.lock()
	defer tx.finish()
	fn(tx)
}

// enterTransaction marks this goroutine as inside a transaction and returns the
// function that removes the mark. It panics on a nested transaction.
func (b *Board) enterTransaction() func() {
	id := goroutineID()
	if _, nested := b.inTransaction.LoadOrStore(id, struct{}{}); nested {
		panic("blackboard: a transaction was started inside another transaction")
	}
	return func() { b.inTransaction.Delete(id) }
}

// goroutineID parses the ID from the first line of the stack dump,
// "goroutine N [running]:".
func goroutineID() int {
	var buffer [64]byte
	line := buffer[:runtime.Stack(buffer[:], false)]
	fields := bytes.Fields(line)
	id, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		panic("blackboard: the stack dump has no goroutine ID")
	}
	return id
}
