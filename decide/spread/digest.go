// Package spread decides how the records of the configuration stream get from
// the platform's log to every node: who reads the log, whom the others ask,
// what an asked node answers, and from when on a started node may serve.
package spread

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is the rolling digest of a stream: that of a record covers the digest
// of the record before it, so two nodes with the same digest at an offset have
// folded the same records up to there. The zero Digest stands before the first
// record.
type Digest [sha256.Size]byte

// Record is one entry of the configuration stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Next returns the digest after a further record.
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

// Over returns the digest after all the records.
func (d Digest) Over(records []Record) Digest {
	for _, r := range records {
		d = d.Next(r)
	}
	return d
}
