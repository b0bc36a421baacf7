// Package record encodes the records of the platform's log as JSON. Decoding is
// strict: an unknown field or trailing data is an error. If one build accepted
// a record that another one skips, their states would differ.
package record

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// MaxChangeBytes bounds a record of the configuration stream. The platform
// accepts records of at least this size.
const MaxChangeBytes = 1 << 20

// EncodeChange encodes a record of the configuration stream. It returns an error
// if the result exceeds MaxChangeBytes.
func EncodeChange(r change.Record) ([]byte, error) {
	data, err := encode(r)
	if err == nil && len(data) > MaxChangeBytes {
		return nil, eris.Errorf("record: %d bytes, the most is %d", len(data), MaxChangeBytes)
	}
	return data, err
}

// DecodeChange decodes a record of the configuration stream. The format never
// changes: a build with an additional field would accept records that other
// builds reject, and their states would differ. A new format needs a new
// stream.
func DecodeChange(data []byte) (change.Record, error) {
	if len(data) > MaxChangeBytes {
		return change.Record{}, eris.New("record: change record exceeds the size limit")
	}
	return decode[change.Record](data)
}

// EncodeMember encodes an announcement of the members stream.
func EncodeMember(m mesh.Member) ([]byte, error) { return encode(m) }

// maxMemberBytes bounds an announcement.
const maxMemberBytes = 8 << 10

// DecodeMember decodes an announcement of the members stream. It returns an error
// if the record cannot be that of a node.
func DecodeMember(data []byte) (mesh.Member, error) {
	if len(data) > maxMemberBytes {
		return mesh.Member{}, eris.New("record: announcement exceeds the size limit")
	}
	m, err := decode[mesh.Member](data)
	if err != nil {
		return mesh.Member{}, err
	}
	return m, m.Check()
}

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	return data, eris.Wrap(err, "record: encode JSON")
}

func decode[T any](data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, eris.Wrap(err, "record: decode JSON")
	}
	if _, err := decoder.Token(); !eris.Is(err, io.EOF) {
		return value, eris.New("record: trailing data after the JSON value")
	}
	return value, nil
}
