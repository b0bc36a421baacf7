// Package outbox performs the I/O that controllers request. A controller puts a
// request row into an outbox table; an I/O worker reads it, sends the request
// without holding a table lock, and writes the result into an inbox table that
// a controller reads.
//
// I/O workers run on a controller.Pool of their own. They block while there is
// nothing to send, requests under the same key are never sent concurrently, and
// tests can step them. Rows are kept in memory only.
package outbox

import (
	"cmp"
	"context"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
)

// SendFunc performs one request and returns its result. It may block; ctx is
// cancelled when the node stops.
type SendFunc[K cmp.Ordered, Req, Res any] func(ctx context.Context, key K, request Req) Res

// Serve registers a controller in pool that sends every row put into out and
// writes the result into in under the same key. The transaction that writes the
// result also deletes the outbox row, unless the row was replaced by a different
// one while it was being sent; the new row is then sent as well. ctx is passed
// to send.
func Serve[K cmp.Ordered, Req comparable, Res any](
	ctx context.Context,
	pool *controller.Pool,
	board *blackboard.Board,
	name string,
	out *blackboard.Table[K, Req],
	in *blackboard.Table[K, Res],
	send SendFunc[K, Req, Res],
) {
	handle := controller.Register(pool, name, func(_ time.Time, key K) controller.Result {
		request, found := readRow(board, out, key)
		if !found {
			return controller.Result{}
		}
		result := send(ctx, key, request)
		board.Do(func(tx *blackboard.Tx) {
			deleteIfUnchanged(tx, out, key, request)
			in.Put(tx, key, result)
		}, out.Write(), in.Write())
		return controller.Result{}
	})
	out.Watch(handle.Add)
}

// ServeOneWay does the same as Serve for requests that have no result.
func ServeOneWay[K cmp.Ordered, Req comparable](
	pool *controller.Pool,
	board *blackboard.Board,
	name string,
	out *blackboard.Table[K, Req],
	send func(key K, request Req),
) {
	handle := controller.Register(pool, name, func(_ time.Time, key K) controller.Result {
		request, found := readRow(board, out, key)
		if !found {
			return controller.Result{}
		}
		send(key, request)
		board.Do(func(tx *blackboard.Tx) { deleteIfUnchanged(tx, out, key, request) }, out.Write())
		return controller.Result{}
	})
	out.Watch(handle.Add)
}

func readRow[K cmp.Ordered, Req any](b *blackboard.Board, out *blackboard.Table[K, Req], key K) (request Req, found bool) {
	b.Do(func(tx *blackboard.Tx) { request, found = out.Get(tx, key) }, out.Read())
	return request, found
}

// deleteIfUnchanged deletes the row of key if it still equals sent.
func deleteIfUnchanged[K cmp.Ordered, Req comparable](tx *blackboard.Tx, out *blackboard.Table[K, Req], key K, sent Req) {
	if current, _ := out.Get(tx, key); current == sent {
		out.Delete(tx, key)
	}
}
