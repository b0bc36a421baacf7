package tables

import "github.com/marigoldshelf/marigoldshelf/blackboard"

// LogLine is a line of the node's log, to be written by an I/O worker.
type LogLine struct {
	// Part is the component that the message is about.
	Part string
	// Warning is true for a message that can require action by an operator.
	Warning bool
	// Message is the text of the line.
	Message string
}

// NodeLog groups the tables of the log lines about state changes of the node.
type NodeLog struct {
	// LastMessages holds the last message logged about each subject, so that a
	// message is logged once. Written by the controllers of package journal.
	LastMessages *blackboard.Table[string, string]
	// LogLines is the outbox of log lines, by subject. When a subject changes
	// faster than lines are written, only its latest line is kept. Written by
	// the controllers of the packages journal and stop.
	LogLines *blackboard.Table[string, LogLine]
}

func newNodeLog(b *blackboard.Board) NodeLog {
	return NodeLog{
		LastMessages: blackboard.NewTable[string, string](b, "told", rankLastMessages),
		LogLines:     blackboard.NewTable[string, LogLine](b, "lines", rankLogLines),
	}
}
