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
	// Gossip only carries records and the reachability of zones.
	Gossip
	// Sync carries the sender's digests and asks for a SyncReply.
	Sync
	// SyncReply carries the digests of the node that received the Sync.
	SyncReply
	// Pull asks for the members of the zone Range.Zone.
	Pull
	// Page carries the records of the members in Range.
	Page
)

// Range selects members of a zone by host name: those after After, up to and
// including Through. An empty Through means up to the last one.
type Range struct {
	Zone    mesh.Zone
	After   mesh.HostID
	Through mesh.HostID
}

// Contains reports whether a host name is in the range.
func (r Range) Contains(id mesh.HostID) bool {
	return id > r.After && (r.Through == "" || id <= r.Through)
}

// Message is one datagram between two nodes. A message of any kind can carry
// records.
type Message struct {
	Kind Kind
	// From is the sender, and Incarnation the sender's incarnation.
	From        mesh.HostID
	Incarnation mesh.Incarnation
	// Sequence matches an Ack to its Ping or PingRequest.
	Sequence uint64
	// Target is the member that is probed.
	Target mesh.HostID
	// ConfigVersion is the newest configuration that the sender has; zero for none.
	ConfigVersion mesh.Version
	// ReceiverIncarnation is the receiver's current incarnation if the sender of an
	// Ack has it recorded as up, else zero.
	ReceiverIncarnation mesh.Incarnation
	// Records has records of members.
	Records []Record
	// Reachability has the reachability of zones, for members of the sender's zone.
	Reachability []Reachability
	// Digests summarize the sender's table by zone. A single digest without a zone
	// summarizes the whole table.
	Digests []Digest
	Range   Range
}

// Envelope is a message with the IP:port that it goes to or came from.
type Envelope struct {
	Address string
	Message Message
}

const (
	// MaxRecordsBytes is the maximum size of the records in one message, in bytes
	// as estimated by Record.Size. It keeps datagrams below MaxDatagramBytes.
	MaxRecordsBytes = 1050
	// MaxDatagramBytes is the maximum size of a datagram in bytes: it fits into one
	// packet of an Ethernet, or of a tunnel over one.
	MaxDatagramBytes = 1400
)

// PaginateRecords splits the records of a zone, sorted by host name, into Page
// messages that together cover the whole zone. Without records there are no
// pages.
func PaginateRecords(zone mesh.Zone, records []Record) []Message {
	var pages []Message
	after := mesh.HostID("")
	for len(records) > 0 {
		count := fittingCount(records)
		page := Message{Kind: Page, Records: records[:count], Range: Range{Zone: zone, After: after}}
		records = records[count:]
		if len(records) > 0 {
			after = page.Records[count-1].Member.Host
			page.Range.Through = after
		}
		pages = append(pages, page)
	}
	return pages
}

// SplitRecords splits records into parts that fit into one message each.
func SplitRecords(records []Record) [][]Record {
	var chunks [][]Record
	for len(records) > 0 {
		count := fittingCount(records)
		chunks = append(chunks, records[:count])
		records = records[count:]
	}
	return chunks
}

// fittingCount returns how many of the first records fit into one message; at
// least one.
func fittingCount(records []Record) int {
	size := 0
	for i, r := range records {
		size += r.Size()
		if size > MaxRecordsBytes && i > 0 {
			return i
		}
	}
	return len(records)
}
