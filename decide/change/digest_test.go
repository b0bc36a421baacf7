package change_test

import (
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// sample has every kind of edit.
func sample() mesh.Edits {
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

// The digests are part of the log's form: a build that computes others cannot
// read what was approved under this one. Never change the expected values.
func TestDigestsAreFixed(t *testing.T) {
	edits := sample()
	must.Eq(t, "36f42c9a88afeaa48313fb24bf5e9e05635e79651d4a9ff463dbc3dda2afbb60", change.Digest(7, edits))
	must.Eq(t, "a1ebd2c716dec9b172be8899ecbbc3bc2969fb24b1e6f06f8ee0d68688c5e976", change.Fingerprint(change.Record{
		ID: "p", Kind: change.Propose, By: change.Principal{Name: "nadia", Role: change.Operator},
		AtMillis: 5, Proposal: "p", Base: 7, Edits: &edits, Reason: "new host",
	}))
}

func TestDigestIgnoresTheOrderOfEdits(t *testing.T) {
	turned := sample()
	turned.PutHosts[0], turned.PutHosts[1] = turned.PutHosts[1], turned.PutHosts[0]
	turned.DeleteHosts[0], turned.DeleteHosts[1] = turned.DeleteHosts[1], turned.DeleteHosts[0]
	must.Eq(t, change.Digest(7, sample()), change.Digest(7, turned))
	must.Eq(t, "x", sample().DeleteHosts[0]) // sorting left the edits as they were
}

// A text that runs over into the next field must not give the same digest.
func TestDigestKeepsFieldsApart(t *testing.T) {
	one := mesh.Edits{PutServices: []mesh.Service{{Name: "ab", Customer: "c"}}}
	other := mesh.Edits{PutServices: []mesh.Service{{Name: "a", Customer: "bc"}}}
	must.NotEq(t, change.Digest(0, one), change.Digest(0, other))
	moved := mesh.Edits{DeleteHosts: []mesh.HostID{"a"}}
	must.NotEq(t, change.Digest(0, moved), change.Digest(0, mesh.Edits{DeleteRules: []string{"a"}}))
}

// Every field of an entry is in the digest, also one that is added later.
func TestDigestCoversEveryField(t *testing.T) {
	for _, entry := range []any{mesh.Service{}, mesh.Host{}, mesh.Rule{}} {
		kind := reflect.TypeOf(entry)
		for i := range kind.NumField() {
			changed := reflect.New(kind).Elem()
			setAny(t, changed.Field(i))
			must.NotEq(t, change.Digest(0, putting(entry)), change.Digest(0, putting(changed.Interface())),
				must.Sprintf("%s.%s is not in the digest", kind, kind.Field(i).Name))
		}
	}
	record := reflect.TypeOf(change.Record{})
	for i := range record.NumField() {
		if record.Field(i).Name == "AtMillis" {
			continue // left out on purpose
		}
		r := change.Record{}
		setAny(t, reflect.ValueOf(&r).Elem().Field(i))
		must.NotEq(t, change.Fingerprint(change.Record{}), change.Fingerprint(r), must.Sprint(record.Field(i).Name))
	}
}

func putting(entry any) mesh.Edits {
	switch v := entry.(type) {
	case mesh.Service:
		return mesh.Edits{PutServices: []mesh.Service{v}}
	case mesh.Host:
		return mesh.Edits{PutHosts: []mesh.Host{v}}
	default:
		return mesh.Edits{PutRules: []mesh.Rule{v.(mesh.Rule)}}
	}
}

func setAny(t *testing.T, v reflect.Value) {
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
		setAny(t, v.Field(0))
	default:
		t.Fatalf("no way to set a %s", v.Kind())
	}
}
