// Package register reads and writes the files of operators, the asset register
// and the rules, as JSON. Unknown keys are refused.
package register

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/inventory"
)

// MaxFileBytes bounds a file.
const MaxFileBytes = 16 << 20

// ParseRegister reads an asset register.
func ParseRegister(data []byte) (inventory.Register, error) { return parse[inventory.Register](data) }

// ParseRules reads a file of rules.
func ParseRules(data []byte) (inventory.Rules, error) { return parse[inventory.Rules](data) }

// Format returns a register or rules as a file to edit.
func Format(value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	return append(data, '\n'), eris.Wrap(err, "register: format")
}

func parse[T any](data []byte) (T, error) {
	var value T
	if len(data) > MaxFileBytes {
		return value, eris.Errorf("register: %d bytes, the most is %d", len(data), MaxFileBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, eris.Wrap(err, "register")
	}
	if _, err := decoder.Token(); !eris.Is(err, io.EOF) {
		return value, eris.New("register: text after the end")
	}
	return value, nil
}
