// Package probe moves the datagrams of membership: it sends what is in the
// outbox MessagesOut, and puts what arrives into the inbox MessagesIn. It
// decides nothing.
package probe

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/encoding/probe"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// maxInbox bounds the inbox; what comes beyond it is dropped, as the
	// network may drop it.
	maxInbox = 4096
	// receiveBuffer is the socket's buffer, in bytes.
	receiveBuffer = 1 << 20
)

// Event names something that is counted.
type Event string

// The events.
const (
	// EventSent: a datagram was sent.
	EventSent Event = "sent"
	// EventReceived: a datagram was received.
	EventReceived Event = "received"
	// EventNotSent: a message did not fit, or the socket refused it.
	EventNotSent Event = "not_sent"
	// EventMalformed: a datagram could not be read.
	EventMalformed Event = "malformed"
	// EventNotAuthentic: a datagram was not made with the peers' secret.
	EventNotAuthentic Event = "not_authentic"
	// EventInboxFull: a datagram came while the inbox was full.
	EventInboxFull Event = "inbox_full"
)

// Front is the datagram side of a node.
type Front struct {
	Tables *tables.Tables
	Socket net.PacketConn
	Codec  probe.Codec
	// Version is told to the nodes that datagrams go to: the newest
	// configuration that this one has; nil tells none.
	Version func() mesh.Version
	// Count takes the events with their sizes in bytes.
	Count func(e Event, bytes int)
}

// RegisterSender makes pool send what is put into the outbox.
func (f Front) RegisterSender(pool *controller.Pool) {
	t := f.Tables
	handle := controller.Register(pool, "send datagram", func(_ time.Time, number uint64) controller.Result {
		var envelope membership.Envelope
		found := false
		t.Board.Do(func(tx *blackboard.Tx) {
			envelope, found = t.MessagesOut.Get(tx, number)
			t.MessagesOut.Delete(tx, number)
		}, t.MessagesOut.Write())
		if found {
			f.send(envelope)
		}
		return controller.Result{}
	})
	t.MessagesOut.Watch(handle.Add)
}

func (f Front) send(e membership.Envelope) {
	if f.Version != nil {
		e.Message.Version = f.Version()
	}
	data, err := f.Codec.Encode(e.Message)
	if err != nil {
		f.Count(EventNotSent, 0)
		return
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		f.Count(EventNotSent, 0)
		return
	}
	if _, err := f.Socket.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
		f.Count(EventNotSent, 0)
		return
	}
	f.Count(EventSent, len(data))
}

// Receive puts datagrams into the inbox until ctx ends. It blocks on the
// socket, which it closes at the end.
func (f Front) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.Socket.Close() })
	defer stop()
	if socket, real := f.Socket.(*net.UDPConn); real {
		if err := socket.SetReadBuffer(receiveBuffer); err != nil {
			return eris.Wrap(err, "probe: receive buffer")
		}
	}
	buffer := make([]byte, membership.MaxDatagram+1)
	number := uint64(0)
	for {
		length, from, err := f.Socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "probe: receive")
		}
		number++
		f.take(number, buffer[:length], from.String())
	}
}

func (f Front) take(number uint64, data []byte, from string) {
	message, err := f.Codec.Decode(data)
	if err != nil {
		f.countFault(err, len(data))
		return
	}
	f.Count(EventReceived, len(data))
	full := false
	t := f.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if full = t.MessagesIn.Len(tx) >= maxInbox; !full {
			t.MessagesIn.Put(tx, number, membership.Envelope{Address: from, Message: message})
		}
	}, t.MessagesIn.Write())
	if full {
		f.Count(EventInboxFull, len(data))
	}
}

func (f Front) countFault(err error, length int) {
	if eris.Is(err, probe.ErrTag) {
		f.Count(EventNotAuthentic, length)
		return
	}
	f.Count(EventMalformed, length)
}
