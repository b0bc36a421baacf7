package quota

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Kind is the kind of a message between a node and a granting node.
type Kind uint8

// The kinds of messages.
const (
	// Ask asks for Count tokens.
	Ask Kind = iota + 1
	// Answer grants Count tokens, possibly none.
	Answer
	// NotGranting answers an Ask of a node that is not the granting node.
	NotGranting
)

// Message is one datagram about the tokens of an account.
type Message struct {
	Kind Kind
	From mesh.HostID
	// Sequence matches an answer to its Ask.
	Sequence uint64
	Account  mesh.AccountName
	// Count is the number of tokens.
	Count int
	// Loan is true in an Ask from another zone.
	Loan bool
	// Wait is the time until the next token, in an Answer with fewer tokens than
	// asked for.
	Wait time.Duration
}

// Envelope is a message with the IP:port that it goes to or came from.
type Envelope struct {
	Address string
	Message Message
}
