package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/logs"
)

func TestEventsAreRateLimitedAndReportOmittedLines(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var out bytes.Buffer
	events := logs.NewEvents(logs.New(&out, "node"), func() time.Time { return now })
	written := 0
	for range 1000 {
		if e := events.Line(logs.Failure, "call"); e != nil {
			e.Msg("refused")
			written++
		}
	}
	must.Eq(t, 100, written)
	// Another kind has its own limit.
	must.NotNil(t, events.Line(logs.StateChange, "member"))
	now = now.Add(time.Second)
	events.Line(logs.Failure, "call").Msg("refused")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.StrContains(t, lines[len(lines)-1], `"lines_omitted":900`)
}

func TestNilEventsWriteNothing(t *testing.T) {
	var events *logs.Events
	must.Nil(t, events.Line(logs.StateChange, "member"))
}

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// When the reader of the log stalls, writers must drop lines instead of
// blocking.
func TestBoundedWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	buffer := logs.NewBoundedWriter(out)
	notified := make(chan struct{}, 1)
	buffer.OnPending(func() {
		select {
		case notified <- struct{}{}:
		default:
		}
	})
	line := bytes.Repeat([]byte("x"), 1<<10)
	_, err := buffer.Write(line)
	must.NoError(t, err)
	<-notified
	done := make(chan int)
	go func() {
		dropped, err := buffer.Flush()
		must.NoError(t, err)
		done <- dropped
	}()
	for range 1000 {
		_, err := buffer.Write(line)
		must.NoError(t, err)
	}
	close(out.release)
	first := <-done
	second, err := buffer.Flush()
	must.NoError(t, err)
	// At most 128 KiB wait while 128 KiB are being written.
	must.Between(t, 1001-2*128, first+second, 1000)
}
