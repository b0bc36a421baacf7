package settings_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/settings"
)

// Guards against a limit that is learned without being asked for, and against a
// value of another type that is taken for one.
func TestLearnedLimitsAreOffByDefault(t *testing.T) {
	text := exampleSettings(t)
	s, err := settings.Parse([]byte(text))
	must.NoError(t, err)
	must.False(t, s.Traffic.LearnedLimits)
	with := func(value string) (settings.Settings, error) {
		return settings.Parse([]byte(strings.Replace(text, "{", `{"traffic": {"learned_limits": `+value+`},`, 1)))
	}
	s, err = with("true")
	must.NoError(t, err)
	must.True(t, s.Traffic.LearnedLimits)
	_, err = with(`"yes"`)
	must.Error(t, err)
}
