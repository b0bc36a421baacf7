package caller

import (
	"bytes"
	"io"
	"testing"

	"github.com/shoenig/test/must"
)

// The goroutine that sends the body of an attempt can still be reading shortly
// after the attempt was refused. Without revocation it would consume bytes
// that the next attempt has to send.
func TestEndedAttemptConsumesNoBytesOfTheNext(t *testing.T) {
	b := &body{buffered: []byte("head"), rest: &sharedReader{source: bytes.NewReader([]byte("rest"))}, size: -1}
	first := b.newReader()
	_, err := io.ReadFull(first, make([]byte, len(b.buffered)))
	must.NoError(t, err)
	must.True(t, b.revokeReaders(), must.Sprint("only buffered bytes were read"))
	second := b.newReader()
	_, err = first.Read(make([]byte, 4))
	must.ErrorIs(t, err, errRevoked)
	content, err := io.ReadAll(second)
	must.NoError(t, err)
	must.Eq(t, "headrest", string(content))
	must.False(t, b.revokeReaders())
}
