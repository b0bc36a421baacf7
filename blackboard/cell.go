package blackboard

import "context"

// cellKey is the only key of a cell's table.
const cellKey = 0

// Cell is a table with a single row, the zero value before the first Set.
type Cell[V any] struct {
	table *Table[int, V]
}

// NewCell adds a cell to the board. It panics when another table has the rank.
func NewCell[V any](b *Board, name string, rank Rank) *Cell[V] {
	return &Cell[V]{table: NewTable[int, V](b, name, rank)}
}

// Read returns read access to the cell, for Board.Do.
func (c *Cell[V]) Read() Access { return c.table.Read() }

// Write returns read and write access to the cell, for Board.Do.
func (c *Cell[V]) Write() Access { return c.table.Write() }

// Get returns the row. It panics when tx has no access to the cell.
func (c *Cell[V]) Get(tx *Tx) V {
	row, _ := c.table.Get(tx, cellKey)
	return row
}

// Set writes the row. It panics when tx has no write access to the cell.
func (c *Cell[V]) Set(tx *Tx, row V) { c.table.Put(tx, cellKey, row) }

// Watch calls fn after each transaction that set the row; see Table.Watch.
func (c *Cell[V]) Watch(fn func()) { c.table.Watch(func(int) { fn() }) }

// Load returns the row in a transaction of its own. It must not be called inside
// a transaction.
func (c *Cell[V]) Load() V {
	row, _ := c.table.snapshotRow(cellKey)
	return row
}

// Await blocks until ready returns true for the row, and returns that row; see
// Table.Await.
func (c *Cell[V]) Await(ctx context.Context, ready func(V) bool) (V, error) {
	return c.table.Await(ctx, cellKey, func(row V, _ bool) bool { return ready(row) })
}
