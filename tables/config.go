package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
)

// Config groups the tables of configuration changes and of the configuration in
// force.
type Config struct {
	// Changes is the state folded from the configuration stream. Written with
	// package changes by the controllers that fold records, and by the controller
	// restore.
	Changes *blackboard.Cell[change.State]
	// Routes is the configuration in force; nil before the first one. Its version
	// only rises. Written by the controller activate, or by the controller
	// approved where configuration is approved before it reaches the node.
	Routes *blackboard.Cell[*route.Table]
	// Submissions holds the records submitted through this node, by record ID.
	// Added by the operators' front end, advanced and deleted by the controllers
	// of package submit.
	Submissions *blackboard.Table[string, submit.Submission]
}

func newConfig(b *blackboard.Board) Config {
	return Config{
		Changes:     blackboard.NewCell[change.State](b, "changes", rankChanges),
		Routes:      blackboard.NewCell[*route.Table](b, "routes", rankRoutes),
		Submissions: blackboard.NewTable[string, submit.Submission](b, "submissions", rankSubmissions),
	}
}
