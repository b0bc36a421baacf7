// Package logs writes the log of a process as one JSON object per line. Logger
// writes messages of the parts of the system, Events writes rate-limited lines
// about decisions, and BoundedWriter keeps a slow reader of the log from blocking
// the process.
package logs

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes messages with the name of a part of the system as prefix. It is
// safe for concurrent use.
type Logger struct {
	prefix string
	out    *log.Logger
}

// New returns a logger that writes to w with the given part as prefix.
func New(w io.Writer, part string) *Logger {
	return &Logger{prefix: part + ": ", out: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: w}}}
}

// Part returns a logger for another part that writes to the same output.
func (l *Logger) Part(part string) *Logger { return &Logger{prefix: part + ": ", out: l.out} }

// Info logs normal operation.
func (l *Logger) Info(message string) { l.out.Info().Msg(l.prefix + message) }

// Warn logs a condition that an operator should check.
func (l *Logger) Warn(message string) { l.out.Warn().Msg(l.prefix + message) }

// Error logs a failure and its cause.
func (l *Logger) Error(message string, cause error) {
	l.out.Error().Err(cause).Msg(l.prefix + message)
}
