package caller

import (
	"bytes"
	"io"
	"testing"

	"github.com/shoenig/test/must"
)

// The goroutine that sends an attempt's body goes on for a moment after the
// attempt was refused. It must not take the bytes that the next attempt sends.
func TestBodyOfAnAttemptThatIsOverTakesNothingFromTheNext(t *testing.T) {
	b := &body{head: []byte("head"), rest: &sharedReader{from: bytes.NewReader([]byte("rest"))}, size: -1}
	first := b.reader()
	_, err := io.ReadFull(first, make([]byte, len(b.head)))
	must.NoError(t, err)
	must.True(t, b.revoke(), must.Sprint("nothing of the rest was read"))
	second := b.reader()
	_, err = first.Read(make([]byte, 4))
	must.ErrorIs(t, err, errRevoked)
	whole, err := io.ReadAll(second)
	must.NoError(t, err)
	must.Eq(t, "headrest", string(whole))
	must.False(t, b.revoke())
}
