package httplog_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/httplog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
)

// TestExpiredReadReturnsOldestOffset checks that the error of an expired read
// carries the oldest retained offset over HTTP. Without it a reader needs a
// second request to find where to continue.
func TestExpiredReadReturnsOldestOffset(t *testing.T) {
	store := standin.New(clock.NewVirtual(time.Unix(0, 0)), standin.Options{MaxRecords: 2})
	server := httptest.NewServer(httplog.NewHandler(store))
	defer server.Close()
	client := httplog.NewClient(server.URL, server.Client())
	for range 5 {
		_, err := client.Append(t.Context(), eventlog.ConfigStream, []byte("x"))
		must.NoError(t, err)
	}
	_, err := client.Read(t.Context(), eventlog.ConfigStream, 1, 0)
	must.ErrorIs(t, err, eventlog.ErrExpired)
	oldest, found := eventlog.OldestRetained(err)
	must.True(t, found)
	must.Eq(t, 4, oldest)
}
