package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Lines of one request from several logs are merged by time, including lines with
// a collector's prefix and those of calls made for the request. Lines of other
// requests and lines without JSON are skipped.
func TestStoryJoinsTheLinesOfOneRequestInOrder(t *testing.T) {
	folder := t.TempDir()
	write := func(name string, lines ...string) string {
		path := filepath.Join(folder, name)
		must.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
		return path
	}
	first := write("a.log",
		`{"time":"2026-01-01T00:00:03Z","part":"call","request":"r1","message":"refused"}`,
		`{"time":"2026-01-01T00:00:01Z","part":"call","request":"r2","message":"answered"}`)
	second := write("b.log",
		`collector: {"time":"2026-01-01T00:00:02Z","part":"admit","request":"r1","reason":"shed"}`,
		`{"time":"2026-01-01T00:00:04Z","part":"call","request":"r1.called","message":"answered"}`, "no JSON r1")
	var out, errs bytes.Buffer
	must.Eq(t, exitDone, run([]string{"story", "r1", first, second}, &out, &errs))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 3, lines)
	for i, want := range []string{"shed", "refused", "r1.called"} {
		must.StrContains(t, lines[i], want)
	}
	must.Eq(t, exitFailed, run([]string{"story", "r9", first}, &out, &errs))
}
