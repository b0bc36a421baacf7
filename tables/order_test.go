package tables_test

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Guards against a lock order in the design page that differs from the code: the
// table under "Lock order" lists the node's tables in the order of their ranks.
func TestDesignPageShowsTheLockOrder(t *testing.T) {
	page, err := os.ReadFile("../docs/DESIGN.md")
	must.NoError(t, err)
	_, after, found := strings.Cut(string(page), "## Lock order\n")
	must.True(t, found)
	var shown []string
	for line := range strings.Lines(after) {
		if strings.HasPrefix(line, "## ") {
			break
		}
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			shown = append(shown, strings.Split(strings.Trim(cells[2], " "), ", ")...)
		}
	}
	must.SliceContains(t, shown, "tables (in order)")
	board := blackboard.New()
	tables.New(board)
	must.Eq(t, board.LockOrder(), shown[2:]) // without the header row and the separator
}
