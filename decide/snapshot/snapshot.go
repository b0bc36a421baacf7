// Package snapshot decides how snapshots of the configuration's state are cut
// into chunks, put together again and verified, and when one has to be written
// into the log. A snapshot is named by the digest of its bytes, so it does not
// matter who writes it, how often, or how late.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
)

// ChunkBytes is the size of every chunk but the last; with its envelope it
// stays under the platform's bound on one record.
const ChunkBytes = 128 << 10

// maxChunks bounds the memory that an unfinished snapshot may take: 32 MiB.
const maxChunks = 256

// Snapshot is an encoded state.
type Snapshot struct {
	// ID is the hex SHA-256 of Data.
	ID string
	// Offset is the last record of the configuration stream that it covers.
	Offset uint64
	Data   []byte
}

// Chunk is one piece of a snapshot.
type Chunk struct {
	ID     string
	Offset uint64
	// Index counts from 0 to Count-1.
	Index int
	Count int
	Data  []byte
}

// New names a snapshot's bytes.
func New(offset uint64, data []byte) Snapshot {
	return Snapshot{ID: idOf(data), Offset: offset, Data: data}
}

func idOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Count returns the number of chunks.
func (s Snapshot) Count() int { return (len(s.Data) + ChunkBytes - 1) / ChunkBytes }

// Chunk returns one chunk; index must be below Count.
func (s Snapshot) Chunk(index int) Chunk {
	from := index * ChunkBytes
	to := min(from+ChunkBytes, len(s.Data))
	return Chunk{ID: s.ID, Offset: s.Offset, Index: index, Count: s.Count(), Data: s.Data[from:to]}
}

// Partial collects the chunks of one snapshot. It is a value: Add returns a
// new one.
type Partial struct {
	ID     string
	Offset uint64
	Count  int
	// Chunks has the chunks so far, by index.
	Chunks map[int][]byte
}

// Next returns the first index that is missing.
func (p Partial) Next() int {
	for index := range p.Count {
		if _, found := p.Chunks[index]; !found {
			return index
		}
	}
	return p.Count
}

// Add takes a chunk in. Chunks of another snapshot begin anew if it is the
// newer one, and are ignored otherwise; so is a malformed chunk.
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

// Whole returns the snapshot once every chunk is there and its digest is
// right. corrupt is true when every chunk is there and the digest is wrong.
func (p Partial) Whole() (s Snapshot, whole, corrupt bool) {
	if p.Count == 0 || p.Next() < p.Count {
		return Snapshot{}, false, false
	}
	var data []byte
	for index := range p.Count {
		data = append(data, p.Chunks[index]...)
	}
	if idOf(data) != p.ID {
		return Snapshot{}, false, true
	}
	return Snapshot{ID: p.ID, Offset: p.Offset, Data: data}, true, false
}
