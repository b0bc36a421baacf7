package era_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/era"
)

// Guards against late answers that take a reader back to a former era, against a
// reader that ignores a store whose era is lower for good, and against a change
// that is reported for a store without eras.
func TestObserve(t *testing.T) {
	for _, c := range []struct {
		name                  string
		known, sent, answered uint64
		newest                uint64
		outcome               era.Outcome
	}{
		{"no eras", 0, 0, 0, 0, era.Current},
		{"first era", 0, 0, 4, 4, era.Current},
		{"same era", 4, 4, 4, 4, era.Current},
		{"no era stated", 4, 4, 0, 4, era.Current},
		{"restored", 4, 4, 5, 5, era.Changed},
		{"restored twice", 4, 3, 6, 6, era.Changed},
		{"sent before the change was observed", 5, 4, 4, 5, era.Late},
		{"sent before any era was known", 5, 0, 4, 5, era.Late},
		{"answered in the new era", 5, 4, 5, 5, era.Current},
		{"replaced by a store in a lower era", 5, 5, 1, 1, era.Changed},
	} {
		newest, outcome := era.Observe(c.known, c.sent, c.answered)
		must.Eq(t, c.newest, newest, must.Sprint(c.name))
		must.Eq(t, c.outcome, outcome, must.Sprint(c.name))
	}
}

func TestPositionIsValidOnlyInItsEra(t *testing.T) {
	must.True(t, era.SameLog(3, 3))
	must.True(t, era.SameLog(3, 0))
	must.False(t, era.SameLog(3, 4))
	must.False(t, era.SameLog(0, 4))
}
