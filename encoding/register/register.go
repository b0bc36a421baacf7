// Package register encodes the files that operators edit, the asset register
// and the rules, as JSON. Unknown keys and trailing text are errors.
package register

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/inventory"
)

// MaxFileBytes bounds the size of a file.
const MaxFileBytes = 16 << 20

// ParseRegister decodes an asset register.
func ParseRegister(data []byte) (inventory.Register, error) { return parse[inventory.Register](data) }

// ParseRules decodes a file of rules.
func ParseRules(data []byte) (inventory.Rules, error) { return parse[inventory.Rules](data) }

// Format encodes an asset register or rules as indented JSON, for editing.
func Format(value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	return append(data, '\n'), eris.Wrap(err, "register: encode JSON")
}

func parse[T any](data []byte) (T, error) {
	var value T
	if len(data) > MaxFileBytes {
		return value, eris.Errorf("register: file has %d bytes, the limit is %d", len(data), MaxFileBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, eris.Wrap(err, "register: decode JSON")
	}
	if _, err := decoder.Token(); !eris.Is(err, io.EOF) {
		return value, eris.New("register: trailing text after the JSON value")
	}
	return value, nil
}
