package submit_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// A node that lags behind the log must not refuse a proposal whose base it has not
// read yet: the proposal is valid at the log's end.
func TestNewerBaseIsNotRefusedLocally(t *testing.T) {
	edits := &mesh.Edits{PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}}}
	r := change.Record{ID: "p", Proposal: "p", Kind: change.Propose, Base: 9, Edits: edits,
		Author: change.Principal{Name: "nadia", Role: change.Operator}}
	_, resolved := submit.ResolveFromState(change.State{Offset: 5, Version: 5}, r)
	must.False(t, resolved)
	s, resolved := submit.ResolveFromState(change.State{Offset: 12, Version: 12}, r)
	must.True(t, resolved)
	must.Eq(t, submit.Refused, s.State)
	must.Eq(t, change.StaleBase, s.Outcome.Refusal)
}
