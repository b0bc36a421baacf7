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

// The oldest retained offset crosses the wire, so that a reader that is behind
// it needs no second request.
func TestExpiredReadTellsTheOldestOffset(t *testing.T) {
	store := standin.New(clock.NewVirtual(time.Unix(0, 0)), standin.Options{Records: 2})
	server := httptest.NewServer(httplog.NewHandler(store))
	defer server.Close()
	client := httplog.NewClient(server.URL, server.Client())
	for range 5 {
		_, err := client.Append(t.Context(), eventlog.Config, []byte("x"))
		must.NoError(t, err)
	}
	_, err := client.Read(t.Context(), eventlog.Config, 1, 0)
	must.ErrorIs(t, err, eventlog.ErrExpired)
	oldest, told := eventlog.Oldest(err)
	must.True(t, told)
	must.Eq(t, 4, oldest)
}
