package blackboard

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// Table is a set of rows with unique keys. Rows are values: data that they point
// to must not be modified after Put.
type Table[K cmp.Ordered, V any] struct {
	board *Board
	name  string
	rank  Rank

	// mu is held by transactions. It guards rows and changed, the keys that the
	// running transaction has changed.
	mu      sync.RWMutex
	rows    map[K]V
	changed map[K]struct{}

	// watchMu guards watchers and waiters. It is taken without mu.
	watchMu  sync.Mutex
	watchers []func(K)
	waiters  map[K][]chan struct{}
}

// NewTable adds a table to the board. It panics when another table has the rank.
func NewTable[K cmp.Ordered, V any](b *Board, name string, rank Rank) *Table[K, V] {
	b.reserveRank(rank, name)
	return &Table[K, V]{
		board:   b,
		name:    name,
		rank:    rank,
		rows:    make(map[K]V),
		changed: make(map[K]struct{}),
		waiters: make(map[K][]chan struct{}),
	}
}

// Read returns read access to the table, for Board.Do.
func (t *Table[K, V]) Read() Access { return Access{table: t} }

// Write returns read and write access to the table, for Board.Do.
func (t *Table[K, V]) Write() Access { return Access{table: t, write: true} }

// Get returns the row with the key, and whether there is one. It panics when tx
// has no access to the table.
func (t *Table[K, V]) Get(tx *Tx, key K) (V, bool) {
	tx.checkAccess(t, false)
	row, found := t.rows[key]
	return row, found
}

// Put inserts or replaces the row with the key. It counts as a change even when
// the row is equal. It panics when tx has no write access to the table.
func (t *Table[K, V]) Put(tx *Tx, key K, row V) {
	tx.checkAccess(t, true)
	t.rows[key] = row
	t.changed[key] = struct{}{}
}

// Delete removes the row with the key. A missing row is not a change. It panics
// when tx has no write access to the table.
func (t *Table[K, V]) Delete(tx *Tx, key K) {
	tx.checkAccess(t, true)
	if _, found := t.rows[key]; !found {
		return
	}
	delete(t.rows, key)
	t.changed[key] = struct{}{}
}

// Len returns the number of rows. It panics when tx has no access to the table.
func (t *Table[K, V]) Len(tx *Tx) int {
	tx.checkAccess(t, false)
	return len(t.rows)
}

// Each calls fn for every row in key order, so that runs are reproducible. It
// stops when fn returns false. fn can delete rows; rows that fn adds are not
// visited. It panics when tx has no access to the table.
func (t *Table[K, V]) Each(tx *Tx, fn func(K, V) bool) {
	tx.checkAccess(t, false)
	keys := make([]K, 0, len(t.rows))
	for key := range t.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		row, found := t.rows[key]
		if found && !fn(key, row) {
			return
		}
	}
}

// Watch registers fn, which is called with the key of each row that a
// transaction changed, after the transaction's locks are released. fn runs on
// the goroutine of the transaction and must not block. Watch is called during
// the setup of a node, before the node runs.
func (t *Table[K, V]) Watch(fn func(K)) {
	t.watchMu.Lock()
	defer t.watchMu.Unlock()
	t.watchers = append(t.watchers, fn)
}

// Await blocks until ready returns true for the row with the key, and returns
// that row. ready is called with found false while there is no row. Await
// returns the context's error when the context ends first. It must not be called
// inside a transaction.
func (t *Table[K, V]) Await(ctx context.Context, key K, ready func(row V, found bool) bool) (V, error) {
	for {
		signal := t.addWaiter(key) // before the read, so that no change is missed
		row, found := t.snapshotRow(key)
		if ready(row, found) {
			t.removeWaiter(key, signal)
			return row, nil
		}
		select {
		case <-signal:
		case <-ctx.Done():
			t.removeWaiter(key, signal)
			var none V
			return none, ctx.Err()
		}
	}
}

func (t *Table[K, V]) snapshotRow(key K) (row V, found bool) {
	t.board.Do(func(tx *Tx) { row, found = t.Get(tx, key) }, t.Read())
	return row, found
}

func (t *Table[K, V]) addWaiter(key K) chan struct{} {
	signal := make(chan struct{})
	t.watchMu.Lock()
	defer t.watchMu.Unlock()
	t.waiters[key] = append(t.waiters[key], signal)
	return signal
}

func (t *Table[K, V]) removeWaiter(key K, signal chan struct{}) {
	t.watchMu.Lock()
	defer t.watchMu.Unlock()
	left := slices.DeleteFunc(t.waiters[key], func(c chan struct{}) bool { return c == signal })
	if len(left) == 0 {
		delete(t.waiters, key)
		return
	}
	t.waiters[key] = left
}

func (t *Table[K, V]) tableName() string { return t.name }
func (t *Table[K, V]) tableRank() Rank   { return t.rank }

func (t *Table[K, V]) lock(write bool) {
	if write {
		t.mu.Lock()
		return
	}
	t.mu.RLock()
}

func (t *Table[K, V]) unlock(write bool) {
	if write {
		t.mu.Unlock()
		return
	}
	t.mu.RUnlock()
}

// takeChanges clears the set of changed keys and returns a function that
// notifies watchers and waiters of them, or nil when there are none. The caller
// holds the write lock and calls the function after releasing it.
func (t *Table[K, V]) takeChanges() func() {
	if len(t.changed) == 0 {
		return nil
	}
	keys := make([]K, 0, len(t.changed))
	for key := range t.changed {
		keys = append(keys, key)
	}
	clear(t.changed)
	slices.Sort(keys)
	return func() { t.notify(keys) }
}

// notify wakes the waiters of all keys, then calls the watchers for each key in
// turn.
func (t *Table[K, V]) notify(keys []K) {
	t.watchMu.Lock()
	watchers := t.watchers
	for _, key := range keys {
		for _, signal := range t.waiters[key] {
			close(signal)
		}
		delete(t.waiters, key)
	}
	t.watchMu.Unlock()
	for _, key := range keys {
		for _, watch := range watchers {
			watch(key)
		}
	}
}
