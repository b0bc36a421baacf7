package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Document is approved configuration as it was published, and what it says.
type Document struct {
	// Version is zero when there is none.
	Version mesh.Version
	// Raw is the published form, which is handed on to other nodes unchanged.
	Raw string
	// Config is what Raw says; nil when there is none.
	Config *mesh.Approved
	// From names where it came from, for logs.
	From string
}

// DocumentAsk asks an I/O worker for a newer document.
type DocumentAsk struct {
	// Address is the peer to ask; empty for the store.
	Address string
	// Above is the version that is known.
	Above mesh.Version
	// Cursor is where the last answer of the store ended.
	Cursor int64
	// Wait is how long the answer may be held for a newer document.
	Wait time.Duration
}

// DocumentResult is what came of an ask.
type DocumentResult struct {
	Ask DocumentAsk
	// Document has version zero when there is nothing newer.
	Document Document
	// Cursor is where to read on; zero while nothing was ever published.
	Cursor int64
	Err    error
}

// SourceState is how a source of documents has answered lately.
type SourceState struct {
	// Failures counts the failed asks in a row.
	Failures int
	// AnsweredAt is when it last answered.
	AnsweredAt time.Time
	// NextAt is when it is asked again.
	NextAt time.Time
	Cursor int64
}

// Announcement is a newer document that another node says it has.
type Announcement struct {
	Version mesh.Version
	Host    mesh.HostID
	// HeardAt is when the version was first heard of.
	HeardAt time.Time
}

// Approved has the tables of configuration that is approved before it reaches
// the node.
type Approved struct {
	// Document is the newest one known. Written by the controller approved.
	Document *blackboard.Cell[Document]
	// Sources is the state of each source: the store, and the peers as one.
	// Written by the controller approved.
	Sources *blackboard.Table[string, SourceState]
	// Announced is the newest document that another node has spoken of. Written
	// by the controllers of membership.
	Announced *blackboard.Cell[Announcement]
	// DocumentAsks is the outbox, DocumentResults the inbox, by source.
	DocumentAsks    *blackboard.Table[string, DocumentAsk]
	DocumentResults *blackboard.Table[string, DocumentResult]
}

func newApproved(b *blackboard.Board) Approved {
	return Approved{
		Document:        blackboard.NewCell[Document](b, "document", rankDocument),
		Sources:         blackboard.NewTable[string, SourceState](b, "sources", rankSources),
		Announced:       blackboard.NewCell[Announcement](b, "announced", rankAnnounced),
		DocumentAsks:    blackboard.NewTable[string, DocumentAsk](b, "document_asks", rankDocumentAsks),
		DocumentResults: blackboard.NewTable[string, DocumentResult](b, "document_results", rankDocumentResults),
	}
}
