// Package record encodes the records of the platform's log as JSON. What it
// cannot read is an error, never a guess: a record that one build reads and
// another skips would make their states differ.
package record

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// EncodeChange returns the bytes of a record of the configuration stream.
func EncodeChange(r change.Record) ([]byte, error) { return encode(r) }

// DecodeChange reads a record of the configuration stream.
func DecodeChange(data []byte) (change.Record, error) { return decode[change.Record](data) }

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
	err := decoder.Decode(&value)
	return value, eris.Wrap(err, "record: decode")
}
