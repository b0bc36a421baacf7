package hop_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
)

// Guards against metadata that gets lost between two nodes: a call without its
// mark or its priorities is admitted behind new work.
func TestRequestMetadataIsReadAsWritten(t *testing.T) {
	for _, nested := range []bool{true, false} {
		sent := hop.Request{
			AttemptID: "1", Target: "a", Service: "s", Class: "booking", Version: 3, Timeout: time.Second,
			Priority: 2, LatencyObjective: 150 * time.Millisecond, Origin: "o", CallerID: "c",
			Account: "acct", AccountPriority: 1, Nested: nested,
		}
		header := http.Header{}
		sent.Write(header)
		received, err := hop.ReadRequest(header)
		must.NoError(t, err)
		must.Eq(t, sent, received)
	}
}
