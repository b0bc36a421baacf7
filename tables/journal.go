package tables

import "github.com/marigoldshelf/marigoldshelf/blackboard"

// Line is one line of the log, to be written by an I/O worker.
type Line struct {
	// Part is the part of the node that the sentence is about.
	Part string
	// Warning marks what an operator may have to look at.
	Warning  bool
	Sentence string
}

// Journal has what the node says of itself. Written by the controller journal.
type Journal struct {
	// Told has the sentence last said about each subject.
	Told *blackboard.Table[string, string]
	// Lines has the lines to write, by subject: a subject that changes faster
	// than lines can be written keeps its latest.
	Lines *blackboard.Table[string, Line]
}

func newJournal(b *blackboard.Board) Journal {
	return Journal{
		Told:  blackboard.NewTable[string, string](b, "told", rankTold),
		Lines: blackboard.NewTable[string, Line](b, "lines", rankLines),
	}
}
