package record_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// TestChangeRecordFormatIsFixed checks the encoded bytes of a record. Every build
// must read the records of every other build, so the format must not change.
func TestChangeRecordFormatIsFixed(t *testing.T) {
	r := change.Record{ID: "p", Kind: change.Propose, Author: change.Principal{Name: "nadia", Role: change.Operator},
		AtMillis: 5, Proposal: "p", Base: 7, Reason: "<new>", Edits: &mesh.Edits{
			PutHosts: []mesh.Host{{ID: "fes-1", Zone: "fes", Service: "desk"}}, DeleteRules: []string{"r"}}}
	want := `{"id":"p","kind":"propose","by":{"name":"nadia","role":"operator"},"at_ms":5,"proposal":"p","base":7,` +
		`"edits":{"put_hosts":[{"id":"fes-1","zone":"fes","service":"desk"}],"delete_rules":["r"]},"reason":"\u003cnew\u003e"}`
	data, err := record.EncodeChange(r)
	must.NoError(t, err)
	must.Eq(t, want, string(data))
	decoded, err := record.DecodeChange([]byte(want))
	must.NoError(t, err)
	must.Eq(t, r, decoded)
	_, err = record.DecodeChange([]byte(want + want))
	must.Error(t, err)
	_, err = record.DecodeChange([]byte(`{"id":"p","kinds":"propose"}`))
	must.Error(t, err)
}

// FuzzDecodeChange checks that every record that DecodeChange accepts can be
// applied to a state, and that it has the same fingerprint and effect after
// another round trip.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"id":"p","kind":"propose","by":{"role":"operator"},"proposal":"p","edits":{"put_services":[{"name":"a","customer":"c"}]}}`))
	f.Add([]byte(`{"id":"p","kind":"approve","by":{"role":"customer"},"proposal":"x","digest":"0"}`))
	f.Add([]byte(`{"ID":"p","id":"q","kind":"\ud800","edits":{"put_rules":[{"id":"","path_prefix":"//.."}]}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := record.DecodeChange(data)
		if err != nil {
			return
		}
		state, first := change.State{}.Apply(1, r)
		must.Eq(t, uint64(1), state.Offset)
		encoded, err := record.EncodeChange(r)
		must.NoError(t, err)
		again, err := record.DecodeChange(encoded)
		must.NoError(t, err)
		must.Eq(t, change.Fingerprint(r), change.Fingerprint(again))
		same, second := change.State{}.Apply(1, again)
		must.Eq(t, first, second)
		must.Eq(t, state, same)
	})
}

// TestLargestRegisterFits checks that a proposal of the whole register of the
// largest expected fleet fits into one record and is accepted within the limits
// of the state.
func TestLargestRegisterFits(t *testing.T) {
	const hosts, services = 930, 97
	var e mesh.Edits
	for i := range services {
		name := mesh.ServiceName(fmt.Sprintf("service-%02d.example", i))
		e.PutServices = append(e.PutServices, mesh.Service{Name: name, Customer: "atlas-cup-menders-association"})
		e.PutRules = append(e.PutRules, mesh.Rule{ID: fmt.Sprintf("rule-%d", i), HostName: string(name), PathPrefix: "/",
			Service: name, Class: mesh.Lookup, DeadlineMillis: 2000, Retries: 2, Hedge: true})
	}
	for i := range hosts {
		e.PutHosts = append(e.PutHosts, mesh.Host{ID: mesh.HostID(fmt.Sprintf("host-%04d.zone.example", i)),
			Zone: "availability-zone-07", Service: e.PutServices[i%services].Name})
	}
	r := change.Record{ID: "all", Kind: change.Propose, Proposal: "all", Author: change.Principal{Name: "nadia", Role: change.Operator}, Edits: &e}
	data, err := record.EncodeChange(r)
	must.NoError(t, err)
	_, outcome := change.State{}.Apply(1, r)
	must.True(t, outcome.Accepted)
	t.Logf("%d bytes for %d hosts, %d services and %d rules", len(data), hosts, services, services)
}
