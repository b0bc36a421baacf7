package logs

import (
	"io"
	"sync"
)

// maxPendingBytes limits the bytes that wait to be written: more than two
// seconds of lines at the highest rate that Events allows.
const maxPendingBytes = 128 << 10

// BoundedWriter is a buffered writer that never blocks. It keeps lines in memory
// until Flush writes them, and drops lines that exceed the buffer. It is safe for
// concurrent use.
type BoundedWriter struct {
	out    io.Writer
	notify func()

	mu      sync.Mutex
	pending []byte
	dropped int
}

// NewBoundedWriter returns a buffered writer to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{out: out, notify: func() {}}
}

// OnPending sets the function that is called when the buffer stops being empty,
// so that the caller can schedule a Flush. It must be set before the first
// Write.
func (b *BoundedWriter) OnPending(notify func()) { b.notify = notify }

// Write buffers one line, or drops it if the buffer is full. It implements
// io.Writer and never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	wasEmpty := len(b.pending) == 0
	if len(b.pending)+len(line) > maxPendingBytes {
		b.dropped++
	} else {
		b.pending = append(b.pending, line...)
	}
	b.mu.Unlock()
	if wasEmpty {
		b.notify()
	}
	return len(line), nil
}

// Flush writes the buffered lines. It blocks while the reader of the output does
// not read. It returns the number of lines dropped since the previous call.
func (b *BoundedWriter) Flush() (dropped int, err error) {
	b.mu.Lock()
	lines := b.pending
	b.pending = nil
	dropped, b.dropped = b.dropped, 0
	b.mu.Unlock()
	if len(lines) > 0 {
		_, err = b.out.Write(lines)
	}
	return dropped, err
}
