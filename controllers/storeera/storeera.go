// Package storeera records the era of the store in the table StoreEra. The
// controllers that receive answers of the store share it, so that a change which
// one of them observes reaches all.
package storeera

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/era"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// OnChange is called with the era before and the new one, once for each change
// of era, inside a transaction.
type OnChange func(previous, current uint64)

// Observe updates StoreEra, which the transaction must lock for writing, from an
// answer of the store. sent is the era that was known when the request was sent,
// answered the one that the answer states. It reports whether the answer is late
// and must be ignored.
func Observe(tx *blackboard.Tx, t *tables.Tables, sent, answered uint64, onChange OnChange) (late bool) {
	known := t.StoreEra.Get(tx)
	newest, outcome := era.Observe(known, sent, answered)
	if newest != known {
		t.StoreEra.Set(tx, newest)
	}
	if outcome == era.Changed && onChange != nil {
		onChange(known, newest)
	}
	return outcome == era.Late
}
