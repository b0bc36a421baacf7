package settings_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/settings"
)

const clientsFile = `{"host": "h", "zone": "z",
	"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3",
		"reports": "127.0.0.1:4", "readiness": "127.0.0.1:5"},
	"backend": {"service": "s", "address": "127.0.0.1:6"},
	"platform": {"kind": "store", "url": "http://127.0.0.1:7"}, "clients": `

// TestClientLimits guards against limits on clients that are not checked, and
// against defaults that the check refuses.
func TestClientLimits(t *testing.T) {
	s, err := settings.Parse([]byte(clientsFile + "{}}"))
	must.NoError(t, err)
	must.Eq(t, 32<<20, s.Clients.MemoryBytes)
	_, err = settings.Parse([]byte(clientsFile + `{"memory_bytes": 1, "connection_bytes": 2, "connections": -1,
		"report_connections": 70000, "peer_connections": -1, "header_lines": 1}}`))
	var faults settings.FieldErrors
	must.True(t, errors.As(err, &faults))
	must.SliceLen(t, 6, faults)
}
