package hop_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Guards against a node that cannot read the load of a peer of another version:
// an earlier version rejects a load header with more fields and sends none of the
// speeds.
func TestSpeedsAreReadBesideTheLoad(t *testing.T) {
	plain := mesh.Load{Slots: 9, Busy: 3, Queued: 1, Failing: 2}
	h := http.Header{}
	hop.ResponseInfo{Load: plain}.Write(h)
	must.Eq(t, "9/3/1/2", h.Get("Marigold-Load"))
	must.Eq(t, "", h.Get("Marigold-Speeds"))
	must.Eq(t, plain, hop.ReadResponseInfo(h).Load)

	learned := plain
	learned.Speeds = [mesh.NumClasses]int{64_000, 250_000}
	hop.ResponseInfo{Load: learned}.Write(h)
	must.Eq(t, "9/3/1/2", h.Get("Marigold-Load"))
	must.Eq(t, learned, hop.ReadResponseInfo(h).Load)

	for _, malformed := range []string{"1/2", "1/2/3/4/5/6", "1/2/3/4/x", "-1/2/3/4/5", "1/2/3/4/99999999999999999999"} {
		h.Set("Marigold-Speeds", malformed)
		must.Eq(t, plain, hop.ReadResponseInfo(h).Load, must.Sprint(malformed))
	}
}
