// Package distribution decides how the records of the configuration stream are
// distributed from the platform's log to every node: which nodes read the log,
// which node each of the others pulls from, how a pull is answered, and when a
// started node is allowed to serve. It reads no clock and does no I/O.
package distribution

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is the rolling digest of a stream. The digest after a record covers the
// digest before it, so two nodes with the same digest at an offset have applied the
// same records up to that offset. The zero Digest is the one before the first
// record.
type Digest [sha256.Size]byte

// Record is one encoded record of the configuration stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Next returns the digest after one more record.
func (d Digest) Next(r Record) Digest {
	hash := sha256.New()
	hash.Write(d[:])
	var offset [8]byte
	binary.BigEndian.PutUint64(offset[:], r.Offset)
	hash.Write(offset[:])
	hash.Write(r.Data)
	var next Digest
	hash.Sum(next[:0])
	return next
}

// Extend returns the digest after all the records.
func (d Digest) Extend(records []Record) Digest {
	for _, r := range records {
		d = d.Next(r)
	}
	return d
}
