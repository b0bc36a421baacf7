package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"
)

// Guards against a configuration that a node would reject, or that the operator can
// hardly mean, and that the check passes; and against keys in its output.
func TestCheckOfApprovedConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		exit int
	}{
		"check-good":          {[]string{"check", "testdata/current.json", "--strict"}, exitDone},
		"check-warned":        {[]string{"check", "testdata/warned.json", "--in-force", "testdata/current.json"}, exitDone},
		"check-strict":        {[]string{"check", "testdata/warned.json", "--strict"}, exitWarnings},
		"check-warned-json":   {[]string{"--json", "check", "testdata/warned.json", "--in-force", "testdata/current.json"}, exitDone},
		"check-faulty":        {[]string{"check", "testdata/faulty.json", "--strict"}, exitErrors},
		"check-faulty-json":   {[]string{"--json", "check", "testdata/faulty.json"}, exitErrors},
		"check-not-a-config":  {[]string{"check", "testdata/screens.txt"}, exitErrors},
		"check-good-json":     {[]string{"--json", "check", "testdata/current.json"}, exitDone},
		"check-without-a-key": {[]string{"check", "testdata/current.json", "--in-force", "testdata/warned.json"}, exitDone},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			must.Eq(t, c.exit, run(c.args, &out, &errs), must.Sprint(errs.String()))
			must.False(t, strings.Contains(out.String()+errs.String(), "test-key"), must.Sprint("a key was printed"))
			goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt")).Assert(t, name, out.Bytes())
		})
	}
}
