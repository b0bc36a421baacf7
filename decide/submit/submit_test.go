package submit_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// A node that lags must not refuse what was made from a version it has not
// read of.
func TestNewerBaseIsLeftToTheLog(t *testing.T) {
	services := &mesh.Edits{PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}}}
	r := change.Record{ID: "p", Proposal: "p", Kind: change.Propose, Base: 9, Edits: services,
		By: change.Principal{Name: "nadia", Role: change.Operator}}
	_, known := submit.Known(change.State{Offset: 5, Version: 5}, r)
	must.False(t, known)
	s, known := submit.Known(change.State{Offset: 12, Version: 12}, r)
	must.True(t, known)
	must.Eq(t, submit.Refused, s.State)
	must.Eq(t, change.StaleBase, s.Outcome.Refusal)
}
