package membership

import "github.com/marigoldshelf/marigoldshelf/mesh"

// Kind is the kind of a message between nodes.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks Target for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping or a PingRequest.
	Ack
	// PingRequest asks the receiver to probe Target for the sender.
	PingRequest
	// Gossip carries news only.
	Gossip
	// Sync carries the sender's digests and asks for a SyncReply.
	Sync
	// SyncReply carries the digests of the node that was asked.
	SyncReply
	// Pull asks for the members of the zone Range.Zone.
	Pull
	// Page carries the members of Range, as news.
	Page
)

// Range is a part of a zone's members: those with names after After, up to
// and including Through; an empty Through is the end.
type Range struct {
	Zone    mesh.Zone
	After   mesh.HostID
	Through mesh.HostID
}

// Contains reports whether a host's name lies in the range.
func (r Range) Contains(id mesh.HostID) bool {
	return id > r.After && (r.Through == "" || id <= r.Through)
}

// Message is one datagram between two nodes.
type Message struct {
	Kind Kind
	// From is the sender, and Incarnation its own.
	From        mesh.HostID
	Incarnation mesh.Incarnation
	// Sequence joins an Ack to its Ping.
	Sequence uint64
	// Target is the member probed.
	Target mesh.HostID
	// Version is the newest configuration that the sender has; zero for none.
	Version mesh.Version
	// Sees is the incarnation under which the sender of an Ack holds the
	// receiver to be up; zero when it does not.
	Sees    mesh.Incarnation
	News    []Record
	Reaches []Reach
	Digests []Digest
	Range   Range
}

// Envelope is a message and the address it goes to or came from, as IP:port.
type Envelope struct {
	Address string
	Message Message
}

// MaxNewsSize is the room for news in one message, in bytes by Record.Size. A
// datagram stays under MaxDatagram with it.
const (
	MaxNewsSize = 1050
	// MaxDatagram is the largest datagram, in bytes: it fits into one packet of
	// an Ethernet or a tunnel over one.
	MaxDatagram = 1400
)

// Pages cuts the records of a zone, sorted by host name, into pages.
func Pages(zone mesh.Zone, records []Record) []Message {
	var pages []Message
	after := mesh.HostID("")
	for len(records) > 0 {
		count := fit(records)
		page := Message{Kind: Page, News: records[:count], Range: Range{Zone: zone, After: after}}
		records = records[count:]
		if len(records) > 0 {
			after = page.News[count-1].Member.Host
			page.Range.Through = after
		}
		pages = append(pages, page)
	}
	return pages
}

// Chunks cuts news into parts that fit into a message each.
func Chunks(records []Record) [][]Record {
	var chunks [][]Record
	for len(records) > 0 {
		count := fit(records)
		chunks = append(chunks, records[:count])
		records = records[count:]
	}
	return chunks
}

// fit returns how many records from the front fit into one message; at least
// one.
func fit(records []Record) int {
	size := 0
	for i, r := range records {
		size += r.Size()
		if size > MaxNewsSize && i > 0 {
			return i
		}
	}
	return len(records)
}
