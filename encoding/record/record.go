// Package record encodes the records of the platform's log as JSON. What it
// cannot read is an error, never a guess: a record that one build reads and
// another skips would make their states differ.
package record

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// MaxChangeBytes bounds a record of the configuration stream; the platform
// takes at least that.
const MaxChangeBytes = 1 << 20

// EncodeChange returns the bytes of a record of the configuration stream. A
// record over MaxChangeBytes is an error.
func EncodeChange(r change.Record) ([]byte, error) {
	data, err := encode(r)
	if err == nil && len(data) > MaxChangeBytes {
		return nil, eris.Errorf("record: %d bytes, the most is %d", len(data), MaxChangeBytes)
	}
	return data, err
}

// DecodeChange reads a record of the configuration stream. The form never
// changes: a build that knew a field more would read records that others refuse,
// and their states would differ. A new form needs a new stream.
func DecodeChange(data []byte) (change.Record, error) {
	if len(data) > MaxChangeBytes {
		return change.Record{}, eris.New("record: too large")
	}
	return decode[change.Record](data)
}

// EncodeMember returns the bytes of an announcement.
func EncodeMember(m mesh.Member) ([]byte, error) { return encode(m) }

// DecodeMember reads an announcement.
func DecodeMember(data []byte) (mesh.Member, error) { return decode[mesh.Member](data) }

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	return data, eris.Wrap(err, "record: encode")
}

func decode[T any](data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, eris.Wrap(err, "record: decode")
	}
	if _, err := decoder.Token(); !eris.Is(err, io.EOF) {
		return value, eris.New("record: data after the record")
	}
	return value, nil
}
