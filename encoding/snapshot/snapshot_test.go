package snapshot_test

import (
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	encoding "github.com/marigoldshelf/marigoldshelf/encoding/snapshot"
)

// fill sets every field reachable from value to a non-zero value. It fails the
// test on an unexported field or an unsupported kind. counter varies the
// numbers.
func fill(t *testing.T, value reflect.Value, path string, counter *int) {
	*counter++
	switch value.Kind() {
	case reflect.String:
		value.SetString(path)
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*counter%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*counter%100 + 1))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem(), path, counter)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(t, value.Index(0), path+"[0]", counter)
		fill(t, value.Index(1), path+"[1]", counter)
	case reflect.Array:
		for i := range value.Len() {
			fill(t, value.Index(i), path, counter)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(t, key, path+".key", counter)
		fill(t, element, path+"[]", counter)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if !field.IsExported() {
				t.Errorf("the snapshot cannot encode the unexported field %s.%s", path, field.Name)
				continue
			}
			fill(t, value.Field(i), path+"."+field.Name, counter)
		}
	default:
		t.Errorf("fill does not support %s of type %s", path, value.Type())
	}
}

// TestSnapshotEncodesEveryFieldOfTheState guards against a state field that the
// snapshot leaves out: the state of a restored node would differ from the
// others'. The state is filled by reflection, so a field added later is covered
// too.
func TestSnapshotEncodesEveryFieldOfTheState(t *testing.T) {
	var state change.State
	counter := 0
	fill(t, reflect.ValueOf(&state).Elem(), "state", &counter)
	digest := distribution.Digest{}.Next(distribution.Record{Offset: 1, Data: []byte("x")})
	encoded, err := encoding.EncodeState(state, digest)
	must.NoError(t, err)
	again, err := encoding.EncodeState(state, digest)
	must.NoError(t, err)
	must.Eq(t, encoded.ID, again.ID)
	decoded, decodedDigest, err := encoding.DecodeState(encoded)
	must.NoError(t, err)
	must.Eq(t, state, decoded)
	must.Eq(t, digest, decodedDigest)
}
