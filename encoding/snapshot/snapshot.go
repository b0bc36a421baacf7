// Package snapshot encodes the state of the configuration stream, and the
// chunks in which it goes into the log. The bytes of a state depend on nothing
// but the state: two nodes of one build write the same.
package snapshot

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
)

// format is raised when the content's meaning changes; another one is refused.
const format = 1

// maxStateBytes bounds a decoded state.
const maxStateBytes = 256 << 20

// content is what a snapshot holds.
type content struct {
	Format int           `json:"format"`
	Digest spread.Digest `json:"digest"`
	State  change.State  `json:"state"`
}

// EncodeState returns the snapshot of a state and of the stream's digest at
// its offset.
func EncodeState(s change.State, d spread.Digest) (snapshot.Snapshot, error) {
	text, err := json.Marshal(content{Format: format, Digest: d, State: s})
	if err != nil {
		return snapshot.Snapshot{}, eris.Wrap(err, "snapshot: encode")
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(text); err != nil {
		return snapshot.Snapshot{}, eris.Wrap(err, "snapshot: pack")
	}
	if err := writer.Close(); err != nil {
		return snapshot.Snapshot{}, eris.Wrap(err, "snapshot: pack")
	}
	return snapshot.New(s.Offset, packed.Bytes()), nil
}

// DecodeState reads what EncodeState wrote. Anything that this build does not
// know is an error: a state read in part would differ from the others'.
func DecodeState(s snapshot.Snapshot) (change.State, spread.Digest, error) {
	reader, err := gzip.NewReader(bytes.NewReader(s.Data))
	if err != nil {
		return change.State{}, spread.Digest{}, eris.Wrap(err, "snapshot: unpack")
	}
	decoder := json.NewDecoder(io.LimitReader(reader, maxStateBytes))
	decoder.DisallowUnknownFields()
	var c content
	if err := decoder.Decode(&c); err != nil {
		return change.State{}, spread.Digest{}, eris.Wrap(err, "snapshot: decode")
	}
	if c.Format != format || c.State.Offset != s.Offset {
		return change.State{}, spread.Digest{}, eris.Errorf("snapshot: format %d at offset %d", c.Format, c.State.Offset)
	}
	return c.State, c.Digest, nil
}

// EncodeChunk returns the log record of a chunk.
func EncodeChunk(c snapshot.Chunk) ([]byte, error) {
	data, err := msgpack.Marshal(&c)
	return data, eris.Wrap(err, "snapshot: encode chunk")
}

// DecodeChunk reads the log record of a chunk.
func DecodeChunk(data []byte) (snapshot.Chunk, error) {
	var c snapshot.Chunk
	err := msgpack.Unmarshal(data, &c)
	return c, eris.Wrap(err, "snapshot: decode chunk")
}
