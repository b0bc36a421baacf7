package logs

import (
	"io"
	"sync"
)

// maxPending bounds the bytes that wait to be written. At the most lines a
// second that Events lets through it is over two seconds' worth.
const maxPending = 128 << 10

// Bounded is a writer that never blocks: it holds lines until Flush writes
// them, and drops those that do not fit. It is safe for concurrent use.
type Bounded struct {
	out  io.Writer
	wake func()

	mu      sync.Mutex
	pending []byte
	dropped int
}

// NewBounded returns a writer of lines to out.
func NewBounded(out io.Writer) *Bounded { return &Bounded{out: out, wake: func() {}} }

// OnPending makes wake be called when there is something to flush. It is
// called before the writer is used.
func (b *Bounded) OnPending(wake func()) { b.wake = wake }

// Write holds one line. It implements io.Writer and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	first := len(b.pending) == 0
	if len(b.pending)+len(line) > maxPending {
		b.dropped++
	} else {
		b.pending = append(b.pending, line...)
	}
	b.mu.Unlock()
	if first {
		b.wake()
	}
	return len(line), nil
}

// Flush writes what is held, and may block while nobody reads the output. It
// returns the number of lines dropped since the last call.
func (b *Bounded) Flush() (dropped int, err error) {
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
