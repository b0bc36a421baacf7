package measure

import (
	"encoding/json"
	"os"
	"testing"
)

func TestPrint(t *testing.T) {
	for name, f := range map[string]func(uint64) []Figures{"hol": HeadOfLine, "stragglers": Stragglers, "overload": Overload} {
		if want := os.Getenv("M"); want != "" && want != name {
			continue
		}
		for _, x := range f(1) {
			data, _ := json.Marshal(x)
			t.Log(name, string(data))
		}
	}
}
