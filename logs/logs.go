// Package logs gives each part of the system a logger whose sentences begin
// with that part's prefix. Lines are JSON objects, one event each.
package logs

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes short sentences for one part of the system. It is safe for
// concurrent use.
type Logger struct {
	prefix string
	out    *log.Logger
}

// New returns a logger that writes to w, for the part named.
func New(w io.Writer, part string) *Logger {
	return &Logger{prefix: part + ": ", out: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: w}}}
}

// Part returns a logger to the same place for another part.
func (l *Logger) Part(part string) *Logger { return &Logger{prefix: part + ": ", out: l.out} }

// Info writes a sentence about something that is as it should be.
func (l *Logger) Info(sentence string) { l.out.Info().Msg(l.prefix + sentence) }

// Warn writes a sentence about something an operator may have to look at.
func (l *Logger) Warn(sentence string) { l.out.Warn().Msg(l.prefix + sentence) }

// Error writes a sentence about a failure and its cause.
func (l *Logger) Error(sentence string, cause error) {
	l.out.Error().Err(cause).Msg(l.prefix + sentence)
}
