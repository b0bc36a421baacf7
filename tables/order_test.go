package tables_test

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// TestDesignPageShowsTheLockOrder compares the page with the tables of a node.
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
	must.Eq(t, board.Order(), shown[2:]) // after the head and its rule
}
