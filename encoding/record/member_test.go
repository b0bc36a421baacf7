package record_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const memberRecord = `{"host":"h","zone":"z","service":"s","incarnation":5,"state":1,"peer_address":"10.0.0.1:7200","probe_address":"10.0.0.1:7201"}`

// Guards against an odd record of another writer among the announcements: nodes
// that read it must not end, and must not try to join through it.
func TestOddAnnouncementIsNoMember(t *testing.T) {
	m, err := record.DecodeMember([]byte(memberRecord))
	must.NoError(t, err)
	must.Eq(t, "10.0.0.1:7201", m.ProbeAddress)
	_, err = record.DecodeMember([]byte(strings.Replace(memberRecord, `"zone":"z"`, `"zone":"Tétouan"`, 1)))
	must.NoError(t, err, must.Sprint("settings allow any name in UTF-8"))
	for _, odd := range []string{
		"", "{}", "null", "[]", "\xff\xfe", strings.Repeat("[", 100_000),
		strings.Replace(memberRecord, `"zone":"z"`, `"zone":`+strings.Repeat("[", 4000)+strings.Repeat("]", 4000), 1),
		strings.Replace(memberRecord, "10.0.0.1:7201", "10.0.0.1:65536", 1),
		strings.Replace(memberRecord, "10.0.0.1:7201", "10.0.0.1:0", 1),
		strings.Replace(memberRecord, "10.0.0.1:7201", "localhost:1", 1),
		strings.Replace(memberRecord, "10.0.0.1:7200", "", 1),
		strings.Replace(memberRecord, `"incarnation":5`, `"incarnation":1e30`, 1),
		strings.Replace(memberRecord, `"incarnation":5`, `"incarnation":-5`, 1),
		strings.Replace(memberRecord, `"state":1`, `"state":900`, 1),
		strings.Replace(memberRecord, `"host":"h"`, `"host":"h\n"`, 1),
		strings.Replace(memberRecord, `"host":"h"`, `"host":"`+strings.Repeat("h", 10_000)+`"`, 1),
		strings.Replace(memberRecord, `"host":"h"`, `"host":["h"]`, 1),
	} {
		_, err := record.DecodeMember([]byte(odd))
		must.Error(t, err, must.Sprint(odd[:min(len(odd), 80)]))
	}
}

// FuzzDecodeMember checks that what is decoded can be used.
func FuzzDecodeMember(f *testing.F) {
	f.Add([]byte(memberRecord))
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := record.DecodeMember(data)
		if err != nil {
			return
		}
		must.NoError(t, mesh.CheckAddress(m.PeerAddress))
	})
}
