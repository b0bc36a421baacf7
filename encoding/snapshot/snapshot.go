// Package snapshot encodes snapshots of the configuration state as gzipped JSON,
// and the chunks in which they are appended to the log as MessagePack. Encoding
// is deterministic: two nodes of one build write the same bytes for the same
// state.
package snapshot

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
)

// formatVersion is increased when the meaning of the content changes. Snapshots
// of other versions are rejected.
const formatVersion = 1

// maxStateBytes bounds the uncompressed JSON of a snapshot.
const maxStateBytes = 256 << 20

// content is the JSON content of a snapshot.
type content struct {
	Format int                 `json:"format"`
	Digest distribution.Digest `json:"digest"`
	State  change.State        `json:"state"`
}

// EncodeState returns the snapshot of a state. d is the digest of the stream at
// the state's offset.
func EncodeState(s change.State, d distribution.Digest) (snapshot.Snapshot, error) {
	text, err := json.Marshal(content{Format: formatVersion, Digest: d, State: s})
	if err != nil {
		return snapshot.Snapshot{}, eris.Wrap(err, "snapshot: encode state")
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(text); err != nil {
		return snapshot.Snapshot{}, eris.Wrap(err, "snapshot: compress state")
	}
	if err := writer.Close(); err != nil {
		return snapshot.Snapshot{}, eris.Wrap(err, "snapshot: compress state")
	}
	return snapshot.New(s.Offset, compressed.Bytes()), nil
}

// DecodeState decodes a snapshot. An unknown field, another format version or an
// offset other than the snapshot's is an error: a partly decoded state would
// differ from those of the other nodes.
func DecodeState(s snapshot.Snapshot) (change.State, distribution.Digest, error) {
	reader, err := gzip.NewReader(bytes.NewReader(s.Data))
	if err != nil {
		return change.State{}, distribution.Digest{}, eris.Wrap(err, "snapshot: decompress state")
	}
	decoder := json.NewDecoder(io.LimitReader(reader, maxStateBytes))
	decoder.DisallowUnknownFields()
	var c content
	if err := decoder.Decode(&c); err != nil {
		return change.State{}, distribution.Digest{}, eris.Wrap(err, "snapshot: decode state")
	}
	if c.Format != formatVersion || c.State.Offset != s.Offset {
		return change.State{}, distribution.Digest{}, eris.Errorf("snapshot: unexpected format version %d or offset %d", c.Format, c.State.Offset)
	}
	return c.State, c.Digest, nil
}

// EncodeChunk encodes a chunk as a record of the snapshots stream.
func EncodeChunk(c snapshot.Chunk) ([]byte, error) {
	data, err := msgpack.Marshal(&c)
	return data, eris.Wrap(err, "snapshot: encode chunk")
}

// DecodeChunk decodes a record of the snapshots stream.
func DecodeChunk(data []byte) (snapshot.Chunk, error) {
	var c snapshot.Chunk
	err := msgpack.Unmarshal(data, &c)
	return c, eris.Wrap(err, "snapshot: decode chunk")
}
