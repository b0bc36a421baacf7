package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Document is a published version of approved configuration, in its published
// form and decoded.
type Document struct {
	// Version is zero when there is no document.
	Version mesh.Version
	// Raw is the published form, which is passed on to other nodes unchanged.
	Raw string
	// Config is the decoded form of Raw; nil when there is no document.
	Config *mesh.ApprovedConfig
	// Source names the source of the document, for logs.
	Source string
}

// RejectedDocument is a published version that this node could not put in force.
type RejectedDocument struct {
	// Version is zero when it could not be read.
	Version mesh.Version
	// Source names the source of the document, for logs.
	Source string
	// Reason is what is wrong with the document; empty when there is none.
	Reason string
}

// DocumentRequest is a request to an I/O worker to fetch a newer document.
type DocumentRequest struct {
	// Address is the address of the peer to fetch from; empty for the store.
	Address string
	// NewerThan is the version that the node has; only a higher one is wanted.
	NewerThan mesh.Version
	// Cursor is the position in the store at which the last read ended, and
	// CursorEra the era of the store that it belongs to.
	Cursor    int64
	CursorEra uint64
	// Era is the era of the store that the node knew when it sent the request.
	Era uint64
	// Wait is how long the source can hold the request until a newer document
	// is published.
	Wait time.Duration
}

// DocumentResult is the result of a DocumentRequest.
type DocumentResult struct {
	Request DocumentRequest
	// Document has version zero when there is nothing newer.
	Document Document
	// Rejected is a newer document that could not be decoded; its Reason is empty
	// when there is none. The source itself answered.
	Rejected RejectedDocument
	// Cursor is the position in the store for the next read; zero while nothing
	// has been published.
	Cursor int64
	// Era is the era of the store in which it answered; zero if it is unknown.
	Era uint64
	// InForce is the version in force at a peer that had nothing newer; zero if
	// it has none.
	InForce mesh.Version
	Err     error
}

// SourceState is the state of fetching documents from one source.
type SourceState struct {
	// Failures counts the consecutive failed requests.
	Failures int
	// AnsweredAt is when the source last answered.
	AnsweredAt time.Time
	// NextAt is when the next request is due.
	NextAt time.Time
	// Cursor is a position in the store, Era the era that it belongs to.
	Cursor int64
	Era    uint64
}

// HeldDocument is the first document that the store returned after the start of
// the node. It is not in force yet: a restored store can have lost a newer one
// that other nodes have in force.
type HeldDocument struct {
	Document Document
	// Since is when the store first returned a document.
	Since time.Time
	// Answers counts the peers that had nothing newer, Confirmed is set if one
	// of them has a version in force.
	Answers   int
	Confirmed bool
}

// Announcement is the version of a newer document that another node has, as
// announced by that node.
type Announcement struct {
	Version mesh.Version
	Host    mesh.HostID
	// ReceivedAt is when the version was first announced to this node.
	ReceivedAt time.Time
}

// Approved groups the tables of configuration that is approved before it
// reaches the node.
type Approved struct {
	// Document is the newest document that was put in force. Written by the
	// controller approved.
	Document *blackboard.Cell[Document]
	// Rejected is the newest document, while it could not be put in force; it is
	// empty once a later one is. Written by the controller approved.
	Rejected *blackboard.Cell[RejectedDocument]
	// Held is the document that waits for the answers of peers; it has version
	// zero when there is none. Written by the controller approved.
	Held *blackboard.Cell[HeldDocument]
	// Sources holds the state of each source: the store, and all peers
	// together. Written by the controller approved.
	Sources *blackboard.Table[string, SourceState]
	// Announced is the newest version that another node has announced. Written
	// by the controllers of membership.
	Announced *blackboard.Cell[Announcement]
	// DocumentRequests is the outbox of requests, DocumentResults the inbox of
	// their results, by source.
	DocumentRequests *blackboard.Table[string, DocumentRequest]
	DocumentResults  *blackboard.Table[string, DocumentResult]
}

func newApproved(b *blackboard.Board) Approved {
	return Approved{
		Document:         blackboard.NewCell[Document](b, "document", rankDocument),
		Rejected:         blackboard.NewCell[RejectedDocument](b, "rejected", rankRejected),
		Held:             blackboard.NewCell[HeldDocument](b, "held", rankHeld),
		Sources:          blackboard.NewTable[string, SourceState](b, "sources", rankSources),
		Announced:        blackboard.NewCell[Announcement](b, "announced", rankAnnounced),
		DocumentRequests: blackboard.NewTable[string, DocumentRequest](b, "document_asks", rankDocumentRequests),
		DocumentResults:  blackboard.NewTable[string, DocumentResult](b, "document_results", rankDocumentResults),
	}
}
