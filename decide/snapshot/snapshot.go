// Package snapshot splits snapshots of the configuration's state into chunks,
// assembles and verifies them, and decides when one has to be written to the log.
// The ID of a snapshot is the digest of its bytes, so it does not matter which
// node writes it, how often, or how late.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
)

// ChunkBytes is the size of every chunk but the last. With its encoding overhead
// a chunk stays below the platform's limit on one record.
const ChunkBytes = 128 << 10

// maxChunks bounds the memory of an incomplete snapshot at 32 MiB.
const maxChunks = 256

// Snapshot is an encoded state.
type Snapshot struct {
	// ID is the hex SHA-256 of Data.
	ID string
	// Offset is the offset of the last record of the configuration stream that
	// the state covers.
	Offset uint64
	Data   []byte
}

// Chunk is one part of a snapshot.
type Chunk struct {
	// ID and Offset are those of the snapshot.
	ID     string
	Offset uint64
	// Index is the position of the chunk, 0 to Count-1.
	Index int
	// Count is the number of chunks of the snapshot.
	Count int
	Data  []byte
}

// New returns the snapshot of an encoded state. It keeps a reference to data.
func New(offset uint64, data []byte) Snapshot {
	return Snapshot{ID: contentID(data), Offset: offset, Data: data}
}

func contentID(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Count returns the number of chunks.
func (s Snapshot) Count() int { return (len(s.Data) + ChunkBytes - 1) / ChunkBytes }

// Chunk returns one chunk, which shares Data. index must be from 0 to Count()-1.
func (s Snapshot) Chunk(index int) Chunk {
	from := index * ChunkBytes
	to := min(from+ChunkBytes, len(s.Data))
	return Chunk{ID: s.ID, Offset: s.Offset, Index: index, Count: s.Count(), Data: s.Data[from:to]}
}

// Partial collects the chunks of one snapshot. It is immutable: Add returns a new
// Partial.
type Partial struct {
	// ID and Offset are those of the snapshot; zero if there is no chunk yet.
	ID     string
	Offset uint64
	// Count is the number of chunks of the complete snapshot.
	Count int
	// Chunks has the data of the chunks collected, by index.
	Chunks map[int][]byte
}

// NextIndex returns the index of the first missing chunk, or Count if none is
// missing.
func (p Partial) NextIndex() int {
	for index := range p.Count {
		if _, found := p.Chunks[index]; !found {
			return index
		}
	}
	return p.Count
}

// Add returns the partial snapshot with a chunk added. A chunk of another snapshot
// replaces the collection, unless that snapshot is older: then the chunk is
// ignored. A malformed chunk is ignored too.
func (p Partial) Add(c Chunk) Partial {
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return p
	}
	if c.ID != p.ID || c.Count != p.Count || c.Offset != p.Offset {
		if p.ID != "" && c.Offset < p.Offset {
			return p
		}
		p = Partial{ID: c.ID, Offset: c.Offset, Count: c.Count}
	}
	chunks := make(map[int][]byte, len(p.Chunks)+1)
	for index, data := range p.Chunks {
		chunks[index] = data
	}
	chunks[c.Index] = c.Data
	p.Chunks = chunks
	return p
}

// Assemble assembles the snapshot. complete is true if every chunk is there and the
// digest matches the ID; corrupt is true if every chunk is there and it does not.
func (p Partial) Assemble() (s Snapshot, complete, corrupt bool) {
	if p.Count == 0 || p.NextIndex() < p.Count {
		return Snapshot{}, false, false
	}
	var data []byte
	for index := range p.Count {
		data = append(data, p.Chunks[index]...)
	}
	if contentID(data) != p.ID {
		return Snapshot{}, false, true
	}
	return Snapshot{ID: p.ID, Offset: p.Offset, Data: data}, true, false
}
