package snapshot_test

import (
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	encoding "github.com/marigoldshelf/marigoldshelf/encoding/snapshot"
)

// fill sets every field that value reaches to something that is not zero. It
// fails on a field that no codec could reach.
func fill(t *testing.T, value reflect.Value, path string, number *int) {
	*number++
	switch value.Kind() {
	case reflect.String:
		value.SetString(path)
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*number%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*number%100 + 1))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem(), path, number)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(t, value.Index(0), path+"[0]", number)
		fill(t, value.Index(1), path+"[1]", number)
	case reflect.Array:
		for i := range value.Len() {
			fill(t, value.Index(i), path, number)
		}
	case reflect.Map:
		key, row := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(t, key, path+".key", number)
		fill(t, row, path+"[]", number)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, row)
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if !field.IsExported() {
				t.Errorf("the snapshot cannot keep the unexported field %s.%s", path, field.Name)
				continue
			}
			fill(t, value.Field(i), path+"."+field.Name, number)
		}
	default:
		t.Errorf("the snapshot does not know how to keep %s of type %s", path, value.Type())
	}
}

// A field of the state that the snapshot forgot would make a restored node
// differ from the others. The state is filled by reflection, so that a field
// added later is covered too.
func TestSnapshotKeepsEveryFieldOfTheState(t *testing.T) {
	var state change.State
	number := 0
	fill(t, reflect.ValueOf(&state).Elem(), "state", &number)
	digest := spread.Digest{}.Next(spread.Record{Offset: 1, Data: []byte("x")})
	encoded, err := encoding.EncodeState(state, digest)
	must.NoError(t, err)
	again, err := encoding.EncodeState(state, digest)
	must.NoError(t, err)
	must.Eq(t, encoded.ID, again.ID)
	back, backDigest, err := encoding.DecodeState(encoded)
	must.NoError(t, err)
	must.Eq(t, state, back)
	must.Eq(t, digest, backDigest)
}
