// Package clientload decides how much memory and how many connections the clients
// of a node can hold, and which connections to close when that is too much. It is
// plain code over values.
package clientload

import (
	"cmp"
	"slices"
	"time"
)

// Group is a group of listeners whose connections share a part of the node's memory
// for clients, so that those of one group leave the others theirs.
type Group uint8

// The groups.
const (
	// Callers is the listener for callers' requests.
	Callers Group = iota
	// Peers is the listener for requests that other nodes forward.
	Peers
	// Control are the listeners for reports, for readiness and for operators.
	Control

	numGroups
)

// Estimated memory of what a client sends, in bytes. The figures are peak memory
// of a node process divided by the number of items, which includes the garbage
// between collections. A request is charged at each node that it passes.
const (
	// connectionBytes is that of a connection: its buffers and the stack of the
	// goroutine that reads it.
	connectionBytes = 16 << 10
	// callerRequestBytes and forwardedRequestBytes are those of a request in flight
	// without its header lines, at the node that reads it from the caller and at the
	// node beside the backend server: 1,600 requests that a node forwards to itself
	// took 127 MB.
	callerRequestBytes    = 48 << 10
	forwardedRequestBytes = 28 << 10
	controlRequestBytes   = 16 << 10
	// HeaderLineBytes is that of a header line in addition to its length: 256
	// requests of 4,000 short lines took 281 MB at both nodes. A line is parsed and
	// copied for the next hop.
	HeaderLineBytes = 128
	// HeadCopies is the number of copies of a head's bytes.
	HeadCopies = 3
	// BufferGrowth is the ratio of a growing buffer's memory to its content.
	BufferGrowth = 2
)

// ConnectionBytes returns the memory that a connection holds while it is open.
// Connections between nodes are limited in number only: each node keeps some idle
// ones to every other.
func (g Group) ConnectionBytes() int64 {
	if g == Peers {
		return 0
	}
	return connectionBytes
}

// RequestBytes returns the memory of a request in flight without its header lines
// and its body.
func (g Group) RequestBytes() int64 {
	switch g {
	case Peers:
		return forwardedRequestBytes
	case Control:
		return controlRequestBytes
	}
	return callerRequestBytes
}

// HeadBytes returns the memory of a part of a head with the given length and
// number of lines.
func HeadBytes(length, lines int) int64 {
	return int64(length)*HeadCopies + int64(lines)*HeaderLineBytes
}

// Limits limits what clients hold.
type Limits struct {
	// TotalBytes limits all connections together, ConnectionBytes each of them.
	TotalBytes, ConnectionBytes int64
	// HeaderLines limits the header lines of a request.
	HeaderLines int
}

// ForGroup returns the limits of one group: callers have five eighths of the total,
// peers a quarter and control the rest.
func (l Limits) ForGroup(g Group) Limits {
	eighths := [numGroups]int64{Callers: 5, Peers: 2, Control: 1}[g]
	l.TotalBytes = l.TotalBytes / 8 * eighths
	l.ConnectionBytes = min(l.ConnectionBytes, l.TotalBytes)
	return l
}

// sharedBytes is the part of the total that every connection can use. The rest is
// kept for small holders, so that ordinary callers are the last to be refused.
func (l Limits) sharedBytes() int64 { return l.TotalBytes / 4 * 3 }

// minAllowance is the least that a connection holds as a small holder.
const minAllowance = 256 << 10

// allowance returns what a connection holds at most as a small holder.
func (l Limits) allowance(connections int) int64 {
	return max(minAllowance, l.sharedBytes()/int64(max(connections, 1)))
}

// Holding is what one connection holds.
type Holding struct {
	Listener string
	Group    Group
	Bytes    int64
	// Since is when Bytes last changed.
	Since time.Time
	// Served is set once a complete request was received.
	Served bool
	// Closing is set when the connection is to be closed.
	Closing bool
	// Wait is as of the last refusal of a small holder.
	Wait
}

// Loads is what the connections of each group hold.
type Loads [numGroups]Load

// Load is what all connections of a group hold.
type Load struct {
	Bytes       int64
	Connections int
	// Refusals is the number of refused increases of a small holder.
	Refusals uint64
}

// Relief is the progress of closing connections after a small holder was refused, for
// each group. Its numbers are values of Load.Refusals.
type Relief struct {
	// Requested is that of the last refusal. Observed is that for which the waits of the
	// connections were written, and Decided that for which connections were selected.
	Requested, Observed, Decided [numGroups]uint64
}

// Decision is the outcome of an increase.
type Decision uint8

// The decisions on an increase.
const (
	Granted Decision = iota
	// ConnectionFull: the connection has reached its own limit.
	ConnectionFull
	// NodeFull: all connections together have reached their limit.
	NodeFull
)

// Increase decides whether a connection can hold n more bytes. A refusal of a
// small holder asks for connections to be closed.
func (l Limits) Increase(load Load, h Holding, n int64) (Decision, Load) {
	if h.Bytes+n > l.ConnectionBytes {
		return ConnectionFull, load
	}
	limit := l.sharedBytes()
	small := h.Bytes+n <= l.allowance(load.Connections)
	if small {
		limit = l.TotalBytes
	}
	if load.Bytes+n > limit {
		if small {
			load.Refusals++
		}
		return NodeFull, load
	}
	load.Bytes += n
	return Granted, load
}

// Entry is a connection and its holding.
type Entry struct {
	ID uint64
	Holding
	// IdleSince is when the connection last ended a request; zero while it has one
	// in flight, or has had none.
	IdleSince time.Time
}

// Wait is since when the node waits for the client of a connection.
type Wait struct {
	// ReceivingSince is when the request that the client is sending began; zero
	// without one. The request has not run.
	ReceivingSince time.Time
	// SendingSince is when the node began to write bytes that the client has not
	// taken yet; zero without any.
	SendingSince time.Time
}

const (
	// receivingGrace is the time that an ordinary client takes at most to send a
	// request with a short body.
	receivingGrace = time.Second
	// sendingGrace is the time in which an ordinary client takes at least some bytes of
	// a response.
	sendingGrace = 3 * time.Second
)

// Reads reports whether the client takes the bytes that the node sends.
func (w Wait) Reads(now time.Time) bool {
	return w.SendingSince.IsZero() || now.Sub(w.SendingSince) < sendingGrace
}

// stalled reports whether the connection holds memory because its client stalls.
func (w Wait) stalled(now time.Time) bool {
	return !w.Reads(now) || !w.ReceivingSince.IsZero() && now.Sub(w.ReceivingSince) >= receivingGrace
}

// SelectStalled returns the connections to close so that the others together hold no
// more than the shared part: of those whose clients stall the largest holders first,
// and among equals those that have not changed for longest. A connection whose
// requests run is not closed, however much it holds: new requests are refused instead.
func (l Limits) SelectStalled(now time.Time, entries []Entry) []uint64 {
	var total int64
	var stalled []Entry
	for _, e := range entries {
		if e.Closing {
			continue
		}
		total += e.Bytes
		if e.stalled(now) {
			stalled = append(stalled, e)
		}
	}
	slices.SortFunc(stalled, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID))
	})
	var selected []uint64
	for _, e := range stalled {
		if total <= l.sharedBytes() {
			break
		}
		selected = append(selected, e.ID)
		total -= e.Bytes
	}
	return selected
}

// silentTime is how long an ordinary caller takes at most from its connection to its
// first request. After a burst of callers with a connection for each request, a
// listener is full of idle connections, and a new one must not make another new one
// give way.
const silentTime = time.Second

// SelectForNew decides on a new connection to a listener that accepts limit
// connections. If the listener is full, one of the others gives way: the oldest that
// has sent no complete request for silentTime, or the one that has been idle for
// longest, or the oldest that has sent no complete request. Without any of these,
// the new connection is refused.
func SelectForNew(now time.Time, entries []Entry, listener string, limit int) (victim uint64, found, accept bool) {
	count := 0
	var unserved, idle Entry
	for _, e := range entries {
		if e.Listener != listener || e.Closing {
			continue
		}
		count++
		switch {
		case !e.Served && (unserved.ID == 0 || e.Since.Before(unserved.Since)):
			unserved = e
		case e.Served && !e.IdleSince.IsZero() && (idle.ID == 0 || e.IdleSince.Before(idle.IdleSince)):
			idle = e
		}
	}
	switch {
	case count < limit:
		return 0, false, true
	case unserved.ID != 0 && (idle.ID == 0 || now.Sub(unserved.Since) >= silentTime):
		return unserved.ID, true, true
	case idle.ID != 0:
		return idle.ID, true, true
	}
	return 0, false, false
}
