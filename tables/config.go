package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
)

// Config has the tables of changes and of the configuration in force.
type Config struct {
	// Changes is the fold of the configuration stream. Written by the
	// controller changes.
	Changes *blackboard.Cell[change.State]
	// Routes is the configuration that requests are served by; nil before the
	// first one. Written by the controller activate; it only rises.
	Routes *blackboard.Cell[*route.Table]
	// Submissions has the records that came in through this node, by record
	// ID. Added by the operators' front end, advanced and deleted by the
	// controllers of package submit.
	Submissions *blackboard.Table[string, submit.Submission]
}

func newConfig(b *blackboard.Board) Config {
	return Config{
		Changes:     blackboard.NewCell[change.State](b, "changes", rankChanges),
		Routes:      blackboard.NewCell[*route.Table](b, "routes", rankRoutes),
		Submissions: blackboard.NewTable[string, submit.Submission](b, "submissions", rankSubmissions),
	}
}
