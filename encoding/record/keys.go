package record

import "github.com/marigoldshelf/marigoldshelf/decide/idempotency"

// EncodeKeys returns the bytes of a record of the keys stream.
func EncodeKeys(r idempotency.Record) ([]byte, error) { return encode(r) }

// DecodeKeys reads a record of the keys stream.
func DecodeKeys(data []byte) (idempotency.Record, error) { return decode[idempotency.Record](data) }
