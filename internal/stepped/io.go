package stepped

import (
	"cmp"
	"context"
	"fmt"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// serveOutboxes starts the I/O of the rows in the node's outboxes.
func (n *Node) serveOutboxes() {
	t := n.Tables
	serveOutbox(n, t.OutgoingPulls, t.PullResults, n.pullRow)
	serveOutbox(n, t.VersionReportRequests, t.VersionReportResults, n.versionReportRow)
	serveOutbox(n, t.LogReads, t.LogBatches, n.readLog)
	serveOutbox(n, t.BoundsRequests, t.BoundsResults, n.readBounds)
	serveOutbox(n, t.Appends, t.AppendResults, n.append)
}

// serveOutbox sends the rows of an outbox that are not in flight and writes each
// result to the inbox, as outbox.Serve does with I/O workers.
func serveOutbox[K cmp.Ordered, Req comparable, Res any](
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
			n.step()
		})
	}
}

// heldRead is a read that the platform holds until the stream has new records.
// try reads again and reports whether the read has ended.
type heldRead struct {
	stream eventlog.Stream
	try    func() bool
}

// readLog reads the platform's log. The platform holds a read that finds no
// records for up to r.Wait.
func (n *Node) readLog(s eventlog.Stream, r tables.LogRead, done func(tables.LogBatch)) {
	f := n.fleet
	ended := false
	finish := func(records []eventlog.Record, err error) {
		if ended {
			return
		}
		ended = true
		f.Traffic.LogReads++
		for _, record := range records {
			f.Traffic.LogReadBytes += len(record.Data)
		}
		batch := tables.LogBatch{From: r.From, RequestedAt: r.RequestedAt, Failures: r.Failures, Records: records, Err: err}
		f.schedule(f.oneWayDelay(), func() { done(batch) })
	}
	f.schedule(r.Wait+replyTimeout, func() { finish(nil, eventlog.ErrUnavailable) })
	if f.isLost(n.Member.Host, "") {
		return
	}
	f.schedule(f.oneWayDelay(), func() {
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
		f.heldReads = append(f.heldReads, &heldRead{stream: s, try: try})
		f.schedule(r.Wait, func() { finish(nil, nil) })
	})
}

// retryHeldReads retries the held reads of a stream and keeps those that have
// not ended.
func (f *Fleet) retryHeldReads(s eventlog.Stream) {
	held := f.heldReads
	f.heldReads = nil
	for _, r := range held {
		if r.stream != s || !r.try() {
			f.heldReads = append(f.heldReads, r)
		}
	}
}

func (n *Node) readBounds(s eventlog.Stream, request tables.BoundsRequest, done func(tables.BoundsResult)) {
	n.callPlatform(func() func() {
		n.fleet.Traffic.LogReads++
		bounds, err := n.fleet.Log.Bounds(context.Background(), s)
		return func() { done(tables.BoundsResult{Request: request, Bounds: bounds, Err: err}) }
	}, func() { done(tables.BoundsResult{Request: request, Err: eventlog.ErrUnavailable}) })
}

func (n *Node) append(_ string, a tables.Append, done func(tables.AppendResult)) {
	n.callPlatform(func() func() {
		n.fleet.Traffic.LogAppends++
		offset, err := n.fleet.Log.Append(context.Background(), a.Stream, []byte(a.Data))
		n.fleet.retryHeldReads(a.Stream)
		return func() { done(tables.AppendResult{Offset: offset, Err: err}) }
	}, func() { done(tables.AppendResult{Err: eventlog.ErrUnavailable}) })
}

// callPlatform runs call after the delay of the request, and the function that
// call returns after the delay of the reply. When the exchange is lost, it runs
// fail after replyTimeout instead.
func (n *Node) callPlatform(call func() func(), fail func()) {
	f := n.fleet
	if f.isLost(n.Member.Host, "") {
		f.schedule(replyTimeout, fail)
		return
	}
	f.schedule(f.oneWayDelay(), func() {
		deliver := call()
		f.schedule(f.oneWayDelay(), deliver)
	})
}

// pullRow adapts pull to serveOutbox.
func (n *Node) pullRow(_ string, request distribution.OutgoingPull, done func(tables.PullResult)) {
	n.pull(request, done)
}

// versionReportRow adapts fetchVersionReport to serveOutbox.
func (n *Node) versionReportRow(_ mesh.HostID, request tables.VersionReportRequest, done func(distribution.VersionReportResult)) {
	n.fetchVersionReport(request, done)
}
