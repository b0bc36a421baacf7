package tables

import "github.com/marigoldshelf/marigoldshelf/blackboard"

// Line is a line of the node's log, to be written by an I/O worker.
type Line struct {
	// Part is the component that the message is about.
	Part string
	// Warning is true for a message that can require action by an operator.
	Warning bool
	// Sentence is the message.
	Sentence string
}

// Journal groups the tables of the log lines about state changes of the node.
type Journal struct {
	// Told holds the last message logged about each subject, so that a message is
	// logged once. Written by the controllers of package journal.
	Told *blackboard.Table[string, string]
	// Lines is the outbox of log lines, by subject. When a subject changes faster
	// than lines are written, only its latest line is kept. Written by the
	// controllers of the packages journal and stop.
	Lines *blackboard.Table[string, Line]
}

func newJournal(b *blackboard.Board) Journal {
	return Journal{
		Told:  blackboard.NewTable[string, string](b, "told", rankTold),
		Lines: blackboard.NewTable[string, Line](b, "lines", rankLines),
	}
}
