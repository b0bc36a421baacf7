// Package blackboard holds the shared state of a node: typed tables that
// controllers read and write, and nothing else does.
//
// Every table has a rank. Code reaches tables only inside a transaction
// (Board.Do), which names the tables it needs; their locks are taken in rank
// order, whatever order they were named in, so no two transactions can wait
// for each other. A transaction inside a transaction would break that order;
// a board made with CheckOrder panics on one.
//
// When a transaction ends, its locks are released first and then each table's
// watchers are told which rows changed. A row is a value: readers get a copy,
// and what a row points to is never modified once it has been put.
package blackboard

import (
	"bytes"
	"fmt"
	"runtime"
	"sort"
	"strconv"
	"sync"
)

// Rank is a table's place in the lock order; lower ranks are locked first.
type Rank int

// Option sets up a Board.
type Option func(*Board)

// CheckOrder makes the board panic when a goroutine starts a transaction while
// it is inside another one. It costs a stack walk for each transaction, so
// tests use it and daemons do not.
func CheckOrder() Option {
	return func(b *Board) { b.checkOrder = true }
}

// Board is a set of tables under one lock order. It is safe for concurrent use.
type Board struct {
	checkOrder bool
	inside     sync.Map // goroutine number -> struct{}

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

// Order returns the names of the tables in lock order.
func (b *Board) Order() []string {
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

func (b *Board) claimRank(rank Rank, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if other, taken := b.ranks[rank]; taken {
		panic(fmt.Sprintf("blackboard: tables %s and %s share rank %d", other, name, rank))
	}
	b.ranks[rank] = name
}

// Do runs fn with the named tables locked. fn must not block, do I/O or call
// Do again. The rows that fn changed are announced to watchers after the locks
// are released.
func (b *Board) Do(fn func(*Tx), access ...Access) {
	if b.checkOrder {
		defer b.enter()()
	}
	tx := newTx(access)
	tx.lock()
	defer tx.finish()
	fn(tx)
}

// enter records that this goroutine is inside a transaction and returns the
// function that undoes it.
func (b *Board) enter() func() {
	id := goroutineNumber()
	if _, nested := b.inside.LoadOrStore(id, struct{}{}); nested {
		panic("blackboard: a transaction was started inside a transaction")
	}
	return func() { b.inside.Delete(id) }
}

// goroutineNumber reads the number from the first line of the stack dump,
// "goroutine N [running]:".
func goroutineNumber() int {
	var buffer [64]byte
	line := buffer[:runtime.Stack(buffer[:], false)]
	fields := bytes.Fields(line)
	number, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		panic("blackboard: stack dump has no goroutine number")
	}
	return number
}
