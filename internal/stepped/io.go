package stepped

import (
	"cmp"
	"context"
	"fmt"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// send starts the I/O that the node's outboxes ask for.
func (n *Node) send() {
	t := n.Tables
	pump(n, t.Asks, t.AskResults, n.askKey)
	pump(n, t.RecallAsks, t.Recalls, n.recallKey)
	pump(n, t.LogReads, t.LogBatches, n.readLog)
	pump(n, t.BoundsAsks, t.BoundsResults, n.bounds)
	pump(n, t.Appends, t.AppendsDone, n.append)
}

// pump does for one outbox what outbox.Serve does, on the fleet's queue.
func pump[K cmp.Ordered, Req comparable, Res any](
	n *Node,
	out *blackboard.Table[K, Req],
	in *blackboard.Table[K, Res],
	send func(K, Req, func(Res)),
) {
	board := n.Tables.Board
	requests := make(map[K]Req)
	var keys []K
	board.Do(func(tx *blackboard.Tx) {
		out.Each(tx, func(key K, request Req) bool {
			requests[key] = request
			keys = append(keys, key)
			return true
		})
	}, out.Read())
	for _, key := range keys {
		name, request := fmt.Sprintf("%p %v", out, key), requests[key]
		if n.inFlight[name] {
			continue
		}
		n.inFlight[name] = true
		send(key, request, func(result Res) {
			if n.stopped {
				return
			}
			delete(n.inFlight, name)
			board.Do(func(tx *blackboard.Tx) {
				if current, _ := out.Get(tx, key); current == request {
					out.Delete(tx, key)
				}
				in.Put(tx, key, result)
			}, out.Write(), in.Write())
			n.turn()
		})
	}
}

// logWait is a read that the platform holds.
type logWait struct {
	stream eventlog.Stream
	try    func() bool
}

// readLog reads the platform's log; the platform holds an empty answer.
func (n *Node) readLog(s eventlog.Stream, r tables.LogRead, done func(tables.LogBatch)) {
	f := n.fleet
	ended := false
	finish := func(records []eventlog.Record, err error) {
		if ended {
			return
		}
		ended = true
		f.Traffic.Reads++
		for _, record := range records {
			f.Traffic.ReadBytes += len(record.Data)
		}
		batch := tables.LogBatch{From: r.From, At: r.At, Failures: r.Failures, Records: records, Err: err}
		f.after(f.oneWay(), func() { done(batch) })
	}
	f.after(r.Wait+answerTimeout, func() { finish(nil, eventlog.ErrUnavailable) })
	if f.lost(n.Member.Host, "") {
		return
	}
	f.after(f.oneWay(), func() {
		try := func() bool {
			records, err := f.Log.Read(context.Background(), s, r.From, 0)
			if err == nil && len(records) == 0 {
				return ended || n.stopped
			}
			finish(records, err)
			return true
		}
		if try() {
			return
		}
		f.waiting = append(f.waiting, &logWait{stream: s, try: try})
		f.after(r.Wait, func() { finish(nil, nil) })
	})
}

// wakeReads tries the held reads of a stream again.
func (f *Fleet) wakeReads(s eventlog.Stream) {
	waiting := f.waiting
	f.waiting = nil
	for _, w := range waiting {
		if w.stream != s || !w.try() {
			f.waiting = append(f.waiting, w)
		}
	}
}

func (n *Node) bounds(s eventlog.Stream, a tables.BoundsAsk, done func(tables.BoundsResult)) {
	n.callPlatform(func() func() {
		n.fleet.Traffic.Reads++
		bounds, err := n.fleet.Log.Bounds(context.Background(), s)
		return func() { done(tables.BoundsResult{Ask: a, Bounds: bounds, Err: err}) }
	}, func() { done(tables.BoundsResult{Ask: a, Err: eventlog.ErrUnavailable}) })
}

func (n *Node) append(_ string, a tables.Append, done func(tables.AppendDone)) {
	n.callPlatform(func() func() {
		n.fleet.Traffic.Appends++
		offset, err := n.fleet.Log.Append(context.Background(), a.Stream, []byte(a.Data))
		n.fleet.wakeReads(a.Stream)
		return func() { done(tables.AppendDone{Offset: offset, Err: err}) }
	}, func() { done(tables.AppendDone{Err: eventlog.ErrUnavailable}) })
}

// callPlatform runs call at the platform and the function that it returns back
// at the node, or fail when the exchange is lost.
func (n *Node) callPlatform(call func() func(), fail func()) {
	f := n.fleet
	if f.lost(n.Member.Host, "") {
		f.after(answerTimeout, fail)
		return
	}
	f.after(f.oneWay(), func() {
		done := call()
		f.after(f.oneWay(), done)
	})
}

// askKey and recallKey fit ask and recall to pump.
func (n *Node) askKey(_ string, a spread.Ask, done func(tables.AskResult)) { n.ask(a, done) }

func (n *Node) recallKey(_ mesh.HostID, a tables.RecallAsk, done func(spread.Recalled)) {
	n.recall(a, done)
}
