package blackboard

import "context"

// cellKey is the only key of a cell's table.
const cellKey = 0

// Cell is a table of one row that is always there. Before the first Set the
// row is the zero value.
type Cell[V any] struct {
	table *Table[int, V]
}

// NewCell adds a cell to the board, with a rank of its own.
func NewCell[V any](b *Board, name string, rank Rank) *Cell[V] {
	return &Cell[V]{table: NewTable[int, V](b, name, rank)}
}

// Read asks a transaction for the cell, to read only.
func (c *Cell[V]) Read() Access { return c.table.Read() }

// Write asks a transaction for the cell, to read and write.
func (c *Cell[V]) Write() Access { return c.table.Write() }

// Get returns the row.
func (c *Cell[V]) Get(tx *Tx) V {
	row, _ := c.table.Get(tx, cellKey)
	return row
}

// Set writes the row.
func (c *Cell[V]) Set(tx *Tx, row V) { c.table.Put(tx, cellKey, row) }

// Watch calls fn after each transaction that set the row; see Table.Watch.
func (c *Cell[V]) Watch(fn func()) { c.table.Watch(func(int) { fn() }) }

// Load returns the row by a transaction of its own; it must not be called
// inside a transaction.
func (c *Cell[V]) Load() V {
	row, _ := c.table.snapshotRow(cellKey)
	return row
}

// Await blocks until ready accepts the row, and returns it; see Table.Await.
func (c *Cell[V]) Await(ctx context.Context, ready func(V) bool) (V, error) {
	return c.table.Await(ctx, cellKey, func(row V, _ bool) bool { return ready(row) })
}
