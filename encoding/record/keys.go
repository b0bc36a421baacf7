package record

import "github.com/marigoldshelf/marigoldshelf/decide/idempotency"

// EncodeKeys encodes a record of the keys stream.
func EncodeKeys(r idempotency.Record) ([]byte, error) { return encode(r) }

// DecodeKeys decodes a record of the keys stream.
func DecodeKeys(data []byte) (idempotency.Record, error) { return decode[idempotency.Record](data) }
