package approved

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// maxHoldTime limits how long the first document that the store returns after
	// the start waits for answers of peers. Usually a node joins within a second. If
	// the restored store has lost the announcements, the other nodes notice within
	// 2.4 s (maxStoreBackoff and its jitter) and write theirs within another second.
	maxHoldTime = 5 * time.Second
	// maxHoldAnswers is the number of peers without a document after whose answers
	// the wait ends: then the whole fleet is starting.
	maxHoldAnswers = 3
)

// confirm returns the document to activate. While no document is in force, one of
// a store that states its era is held until peers had the chance to name a newer
// one: the store can have been restored from a copy that lacks it. The wait ends
// when a peer with a document in force, or maxHoldAnswers peers without one, have
// nothing newer, or after maxHoldTime.
func (f *documentFetcher) confirm(tx *blackboard.Tx, now time.Time, source string, newer tables.Document) tables.Document {
	held := f.Held.Get(tx)
	switch inForce := f.Document.Get(tx).Version; {
	case inForce > 0 || source != SourceStore && newer.Version > 0:
		if held.Document.Version > 0 {
			f.Held.Set(tx, tables.HeldDocument{})
		}
		if held.Document.Version > max(newer.Version, inForce) {
			return held.Document // newer than the one that a peer had
		}
		return newer
	case newer.Version > held.Document.Version && f.StoreEra.Get(tx) > 0:
		if held.Document.Version == 0 {
			held.Since = now
			f.handle.AddAt(SourceStore, now.Add(maxHoldTime))
			f.handle.Add(SourcePeers)
		}
		held.Document = newer
		f.Held.Set(tx, held)
	case held.Document.Version == 0:
		return newer
	}
	expired := !now.Before(held.Since.Add(maxHoldTime))
	answered := (held.Confirmed || held.Answers >= maxHoldAnswers) && f.Announced.Get(tx).Version <= held.Document.Version
	if !expired && !answered {
		return tables.Document{}
	}
	f.Held.Set(tx, tables.HeldDocument{})
	return held.Document
}
