// Package outbox does the I/O that controllers ask for. A controller puts a
// row into an outbox table; an I/O worker takes it, sends it with no lock
// held, and writes what came of it into an inbox table, where a controller
// finds it.
//
// I/O workers are a controller.Pool of their own, so they block while there is
// nothing to send, one key is never sent twice at once, and a test can step
// them.
package outbox

import (
	"cmp"
	"context"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
)

// Send performs one request. It may block; ctx ends when the node stops.
type Send[K cmp.Ordered, Req, Res any] func(ctx context.Context, key K, request Req) Res

// Serve makes pool send every row put into out and write its result into in,
// under the same key. The outbox row is deleted in the transaction that writes
// the result, unless it was replaced meanwhile: then the newer one is sent too.
func Serve[K cmp.Ordered, Req comparable, Res any](
	ctx context.Context,
	pool *controller.Pool,
	board *blackboard.Board,
	name string,
	out *blackboard.Table[K, Req],
	in *blackboard.Table[K, Res],
	send Send[K, Req, Res],
) {
	handle := controller.Register(pool, name, func(_ time.Time, key K) controller.Result {
		request, found := take(board, out, key)
		if !found {
			return controller.Result{}
		}
		result := send(ctx, key, request)
		board.Do(func(tx *blackboard.Tx) {
			deleteSent(tx, out, key, request)
			in.Put(tx, key, result)
		}, out.Write(), in.Write())
		return controller.Result{}
	})
	out.Watch(handle.Add)
}

// Drain makes pool send every row put into out, as Serve does, where nobody
// needs the result.
func Drain[K cmp.Ordered, Req comparable](
	pool *controller.Pool,
	board *blackboard.Board,
	name string,
	out *blackboard.Table[K, Req],
	send func(key K, request Req),
) {
	handle := controller.Register(pool, name, func(_ time.Time, key K) controller.Result {
		request, found := take(board, out, key)
		if !found {
			return controller.Result{}
		}
		send(key, request)
		board.Do(func(tx *blackboard.Tx) { deleteSent(tx, out, key, request) }, out.Write())
		return controller.Result{}
	})
	out.Watch(handle.Add)
}

func take[K cmp.Ordered, Req any](b *blackboard.Board, out *blackboard.Table[K, Req], key K) (request Req, found bool) {
	b.Do(func(tx *blackboard.Tx) { request, found = out.Get(tx, key) }, out.Read())
	return request, found
}

// deleteSent deletes the row that was sent, unless it was replaced meanwhile.
func deleteSent[K cmp.Ordered, Req comparable](tx *blackboard.Tx, out *blackboard.Table[K, Req], key K, sent Req) {
	if current, _ := out.Get(tx, key); current == sent {
		out.Delete(tx, key)
	}
}
