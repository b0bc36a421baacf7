package blackboard

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// Table is a set of rows with unique keys. Rows are values: what they point to
// must not be modified after Put.
type Table[K cmp.Ordered, V any] struct {
	board *Board
	name  string
	rank  Rank

	mu      sync.RWMutex
	rows    map[K]V
	changed map[K]struct{}

	watchMu  sync.Mutex
	watchers []func(K)
	waiters  map[K][]chan struct{}
}

// NewTable adds a table to the board. Two tables with one rank panic.
func NewTable[K cmp.Ordered, V any](b *Board, name string, rank Rank) *Table[K, V] {
	b.claimRank(rank, name)
	return &Table[K, V]{
		board:   b,
		name:    name,
		rank:    rank,
		rows:    make(map[K]V),
		changed: make(map[K]struct{}),
		waiters: make(map[K][]chan struct{}),
	}
}

// Read asks a transaction for the table, to read only.
func (t *Table[K, V]) Read() Access { return Access{table: t} }

// Write asks a transaction for the table, to read and write.
func (t *Table[K, V]) Write() Access { return Access{table: t, write: true} }

// Get returns the row under key, and whether there is one.
func (t *Table[K, V]) Get(tx *Tx, key K) (V, bool) {
	tx.mustHold(t, false)
	row, found := t.rows[key]
	return row, found
}

// Put writes the row under key.
func (t *Table[K, V]) Put(tx *Tx, key K, row V) {
	tx.mustHold(t, true)
	t.rows[key] = row
	t.changed[key] = struct{}{}
}

// Delete removes the row under key; a missing row is no change.
func (t *Table[K, V]) Delete(tx *Tx, key K) {
	tx.mustHold(t, true)
	if _, found := t.rows[key]; !found {
		return
	}
	delete(t.rows, key)
	t.changed[key] = struct{}{}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len(tx *Tx) int {
	tx.mustHold(t, false)
	return len(t.rows)
}

// Each calls fn for every row in the order of the keys, so that runs can be
// repeated exactly. It stops when fn returns false.
func (t *Table[K, V]) Each(tx *Tx, fn func(K, V) bool) {
	tx.mustHold(t, false)
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

// Watch calls fn with the key of each row that a transaction changed, after
// its locks are released. fn must not block; it runs on the goroutine of the
// transaction. Watch is called while a node is put together, before it runs.
func (t *Table[K, V]) Watch(fn func(K)) {
	t.watchMu.Lock()
	defer t.watchMu.Unlock()
	t.watchers = append(t.watchers, fn)
}

// Await blocks until ready accepts the row under key, and returns that row.
// ready also sees the absence of a row. It returns the context's error when
// the context ends first.
func (t *Table[K, V]) Await(ctx context.Context, key K, ready func(row V, found bool) bool) (V, error) {
	for {
		signal := t.addWaiter(key)
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

// takeChanges empties the list of changed keys and returns the function that
// announces them, or nil. The caller holds the write lock.
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
	return func() { t.announce(keys) }
}

func (t *Table[K, V]) announce(keys []K) {
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
