package change_test

import (
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// sampleEdits returns edits of every kind, with characters that codecs escape.
func sampleEdits() mesh.Edits {
	return mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}, {Name: "a<b>&", Customer: "\"quoted\"\n"}},
		PutHosts:    []mesh.Host{{ID: "fes-1", Zone: "fes", Service: "desk"}, {ID: "fes-2", Zone: "fes", Service: "desk"}},
		PutRules: []mesh.Rule{{ID: "r", HostName: "desk.example", PathPrefix: "/", Service: "desk",
			Class: mesh.Lookup, DeadlineMillis: 2000, Retries: 2, Hedge: true}},
		DeleteServices: []mesh.ServiceName{"old"},
		DeleteHosts:    []mesh.HostID{"x", "y"},
		DeleteRules:    []string{"s"},
	}
}

// Logs contain digests: a build that computes other values for the same content
// rejects the approvals already in the log. Never change the expected values.
func TestDigestsAreFixed(t *testing.T) {
	edits := sampleEdits()
	must.Eq(t, "36f42c9a88afeaa48313fb24bf5e9e05635e79651d4a9ff463dbc3dda2afbb60", change.Digest(7, edits))
	must.Eq(t, "a1ebd2c716dec9b172be8899ecbbc3bc2969fb24b1e6f06f8ee0d68688c5e976", change.Fingerprint(change.Record{
		ID: "p", Kind: change.Propose, Author: change.Principal{Name: "nadia", Role: change.Operator},
		AtMillis: 5, Proposal: "p", Base: 7, Edits: &edits, Reason: "new host",
	}))
}

func TestDigestIgnoresOrderOfEdits(t *testing.T) {
	reordered := sampleEdits()
	reordered.PutHosts[0], reordered.PutHosts[1] = reordered.PutHosts[1], reordered.PutHosts[0]
	reordered.DeleteHosts[0], reordered.DeleteHosts[1] = reordered.DeleteHosts[1], reordered.DeleteHosts[0]
	must.Eq(t, change.Digest(7, sampleEdits()), change.Digest(7, reordered))
	must.Eq(t, "x", sampleEdits().DeleteHosts[0]) // Digest does not sort its argument in place
}

// Without length prefixes, moving characters from one field to the next would
// leave the digest unchanged.
func TestDigestSeparatesFields(t *testing.T) {
	one := mesh.Edits{PutServices: []mesh.Service{{Name: "ab", Customer: "c"}}}
	other := mesh.Edits{PutServices: []mesh.Service{{Name: "a", Customer: "bc"}}}
	must.NotEq(t, change.Digest(0, one), change.Digest(0, other))
	moved := mesh.Edits{DeleteHosts: []mesh.HostID{"a"}}
	must.NotEq(t, change.Digest(0, moved), change.Digest(0, mesh.Edits{DeleteRules: []string{"a"}}))
}

// Finds fields by reflection, so that a field added later without being covered
// by the digest fails the test.
func TestDigestCoversEveryField(t *testing.T) {
	for _, entry := range []any{mesh.Service{}, mesh.Host{}, mesh.Rule{}} {
		entryType := reflect.TypeOf(entry)
		for i := range entryType.NumField() {
			changed := reflect.New(entryType).Elem()
			setNonZero(t, changed.Field(i))
			must.NotEq(t, change.Digest(0, editsPutting(entry)), change.Digest(0, editsPutting(changed.Interface())),
				must.Sprintf("%s.%s is not in the digest", entryType, entryType.Field(i).Name))
		}
	}
	recordType := reflect.TypeOf(change.Record{})
	for i := range recordType.NumField() {
		if recordType.Field(i).Name == "AtMillis" {
			continue // differs when a request is repeated
		}
		r := change.Record{}
		setNonZero(t, reflect.ValueOf(&r).Elem().Field(i))
		must.NotEq(t, change.Fingerprint(change.Record{}), change.Fingerprint(r), must.Sprint(recordType.Field(i).Name))
	}
}

func editsPutting(entry any) mesh.Edits {
	switch v := entry.(type) {
	case mesh.Service:
		return mesh.Edits{PutServices: []mesh.Service{v}}
	case mesh.Host:
		return mesh.Edits{PutHosts: []mesh.Host{v}}
	default:
		return mesh.Edits{PutRules: []mesh.Rule{v.(mesh.Rule)}}
	}
}

func setNonZero(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Int, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint64:
		v.SetUint(1)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
	case reflect.Struct:
		setNonZero(t, v.Field(0))
	default:
		t.Fatalf("no way to set a %s", v.Kind())
	}
}
