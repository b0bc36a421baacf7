// Package probe sends and receives the UDP datagrams of the membership protocol,
// and on the same socket those about quotas. It sends the messages of the outboxes
// MessagesOut and QuotaMessagesOut and puts received messages into the inboxes
// MessagesIn and QuotaMessagesIn. It makes no decisions.
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
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/encoding/probe"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// maxInboxMessages limits the inbox. Further messages are dropped; the
	// protocol tolerates that as it tolerates loss by the network.
	maxInboxMessages = 4096
	// receiveBufferBytes is the size of the socket's receive buffer.
	receiveBufferBytes = 1 << 20
)

// Event is an event that Transport.Count counts.
type Event string

// Events passed to Transport.Count.
const (
	// EventSent: a datagram was sent.
	EventSent Event = "sent"
	// EventReceived: a datagram was received and decoded.
	EventReceived Event = "received"
	// EventNotSent: a message was too large, its address was invalid, or the
	// socket returned an error.
	EventNotSent Event = "not_sent"
	// EventReceiveFailed: the socket returned an error.
	EventReceiveFailed Event = "receive_failed"
	// EventMalformed: a received datagram could not be decoded.
	EventMalformed Event = "malformed"
	// EventNotAuthentic: a received datagram was not authenticated with the
	// peers' shared secret.
	EventNotAuthentic Event = "not_authentic"
	// EventInboxFull: a received message was dropped because the inbox was full.
	EventInboxFull Event = "inbox_full"
)

// Transport sends and receives a node's membership datagrams.
type Transport struct {
	Tables *tables.Tables
	Socket net.PacketConn
	Codec  probe.Codec
	// ConfigVersion returns the newest configuration version of this node, which
	// is included in each message; nil means that messages have no version.
	ConfigVersion func() mesh.Version
	// Count counts an event; bytes is the datagram's length, zero for
	// EventNotSent.
	Count func(e Event, bytes int)
}

// RegisterSender registers a controller on pool that sends the messages of the
// outbox.
func (tr Transport) RegisterSender(pool *controller.Pool) {
	t := tr.Tables
	handle := controller.Register(pool, "send datagram", func(_ time.Time, number uint64) controller.Result {
		var envelope membership.Envelope
		found := false
		t.Board.Do(func(tx *blackboard.Tx) {
			envelope, found = t.MessagesOut.Get(tx, number)
			t.MessagesOut.Delete(tx, number)
		}, t.MessagesOut.Write())
		if found {
			tr.send(envelope)
		}
		return controller.Result{}
	})
	t.MessagesOut.Watch(handle.Add)
	quotas := controller.Register(pool, "send quota datagram", func(_ time.Time, number uint64) controller.Result {
		var envelope quota.Envelope
		found := false
		t.Board.Do(func(tx *blackboard.Tx) {
			envelope, found = t.QuotaMessagesOut.Get(tx, number)
			t.QuotaMessagesOut.Delete(tx, number)
		}, t.QuotaMessagesOut.Write())
		if found {
			data, err := tr.Codec.EncodeQuota(envelope.Message)
			tr.sendDatagram(envelope.Address, data, err)
		}
		return controller.Result{}
	})
	t.QuotaMessagesOut.Watch(quotas.Add)
}

func (tr Transport) send(e membership.Envelope) {
	if tr.ConfigVersion != nil {
		e.Message.ConfigVersion = tr.ConfigVersion()
	}
	data, err := tr.Codec.Encode(e.Message)
	tr.sendDatagram(e.Address, data, err)
}

// sendDatagram sends an encoded message unless encoding it has failed.
func (tr Transport) sendDatagram(to string, data []byte, encodeError error) {
	if encodeError != nil {
		tr.Count(EventNotSent, 0)
		return
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		tr.Count(EventNotSent, 0)
		return
	}
	if _, err := tr.Socket.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
		tr.Count(EventNotSent, 0)
		return
	}
	tr.Count(EventSent, len(data))
}

// receiveRetryDelay is the delay after an error of the socket.
const receiveRetryDelay = 10 * time.Millisecond

// Receive puts received messages into the inbox until ctx ends, then closes the
// socket and returns nil. It returns an error if the socket is closed before
// that.
func (tr Transport) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { tr.Socket.Close() })
	defer stop()
	if socket, real := tr.Socket.(*net.UDPConn); real {
		if err := socket.SetReadBuffer(receiveBufferBytes); err != nil {
			return eris.Wrap(err, "probe: set receive buffer size of UDP socket")
		}
	}
	buffer := make([]byte, membership.MaxDatagramBytes+1)
	number := uint64(0)
	for {
		length, from, err := tr.Socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if eris.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "probe: receive membership datagram")
		}
		if err != nil {
			// Without datagrams the node would be taken for dead, so an error that
			// passes does not end the loop.
			tr.Count(EventReceiveFailed, 0)
			time.Sleep(receiveRetryDelay)
			continue
		}
		number++
		tr.putReceived(number, buffer[:length], from.String())
	}
}

// putReceived decodes a datagram and puts its message into the inbox of its kind.
func (tr Transport) putReceived(number uint64, data []byte, from string) {
	if probe.IsQuota(data) {
		tr.putQuota(number, data, from)
		return
	}
	message, err := tr.Codec.Decode(data)
	if err != nil {
		tr.countDecodeError(err, len(data))
		return
	}
	tr.Count(EventReceived, len(data))
	full := false
	t := tr.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if full = t.MessagesIn.Len(tx) >= maxInboxMessages; !full {
			t.MessagesIn.Put(tx, number, membership.Envelope{Address: from, Message: message})
		}
	}, t.MessagesIn.Write())
	if full {
		tr.Count(EventInboxFull, len(data))
	}
}

func (tr Transport) putQuota(number uint64, data []byte, from string) {
	message, err := tr.Codec.DecodeQuota(data)
	if err != nil {
		tr.countDecodeError(err, len(data))
		return
	}
	tr.Count(EventReceived, len(data))
	full := false
	t := tr.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if full = t.QuotaMessagesIn.Len(tx) >= maxInboxMessages; !full {
			t.QuotaMessagesIn.Put(tx, number, quota.Envelope{Address: from, Message: message})
		}
	}, t.QuotaMessagesIn.Write())
	if full {
		tr.Count(EventInboxFull, len(data))
	}
}

func (tr Transport) countDecodeError(err error, length int) {
	if eris.Is(err, probe.ErrNotAuthentic) {
		tr.Count(EventNotAuthentic, length)
		return
	}
	tr.Count(EventMalformed, length)
}
