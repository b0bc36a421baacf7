package probe

import (
	"bytes"
	"crypto/hmac"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// quotaMark is the first byte of a datagram about quotas. MessagePack never
	// uses it, and a membership datagram begins with the byte of an array, so that
	// nodes of older versions drop it as malformed.
	quotaMark = 0xc1
	// quotaFields is the number of fields after the format version.
	quotaFields = 7
	// maxWaitMillis bounds the time until the next token.
	maxWaitMillis = 60_000
)

// IsQuota reports whether a datagram is about quotas.
func IsQuota(data []byte) bool { return len(data) > 0 && data[0] == quotaMark }

// EncodeQuota returns the datagram of a message about quotas. It returns
// ErrTooLong if the name of the host or the account is too long.
func (c Codec) EncodeQuota(m quota.Message) ([]byte, error) {
	if len(m.Account) > maxTextBytes || len(m.From) > maxTextBytes {
		return nil, ErrTooLong
	}
	var buffer bytes.Buffer
	buffer.WriteByte(quotaMark)
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	w := writer{encoder: encoder}
	w.arrayLength(1 + quotaFields)
	w.number(formatVersion)
	w.number(uint64(m.Kind))
	w.text(string(m.From))
	w.number(m.Sequence)
	w.text(string(m.Account))
	w.number(uint64(max(m.Count, 0)))
	w.number(uint64(min((m.Wait + time.Millisecond - 1).Milliseconds(), maxWaitMillis)))
	w.check(encoder.EncodeBool(m.Loan))
	if w.err != nil {
		return nil, eris.Wrap(w.err, "probe: encode message about quotas")
	}
	data := buffer.Bytes()
	if len(c.secret) > 0 {
		data = append(data, c.tag(data)...)
	}
	return data, nil
}

// DecodeQuota authenticates and decodes a datagram about quotas. The error is
// ErrNotAuthentic or ErrMalformed.
func (c Codec) DecodeQuota(data []byte) (quota.Message, error) {
	if len(data) > membership.MaxDatagramBytes || !IsQuota(data) {
		return quota.Message{}, ErrMalformed
	}
	if len(c.secret) > 0 {
		body := len(data) - tagBytes
		if body < 0 || !hmac.Equal(c.tag(data[:body]), data[body:]) {
			return quota.Message{}, ErrNotAuthentic
		}
		data = data[:body]
	}
	if len(data) == 0 {
		return quota.Message{}, ErrMalformed
	}
	source := bytes.NewReader(data[1:])
	r := reader{decoder: msgpack.NewDecoder(source), source: source}
	r.expectArray(1 + quotaFields)
	if r.number() != formatVersion {
		r.failed = true
	}
	var m quota.Message
	m.Kind = quota.Kind(r.numberUpTo(uint64(quota.NotGranting)))
	m.From = mesh.HostID(r.text())
	m.Sequence = r.number()
	m.Account = mesh.AccountName(r.text())
	m.Count = int(r.numberUpTo(quota.MaxTokens))
	m.Wait = time.Duration(r.numberUpTo(maxWaitMillis)) * time.Millisecond
	if !r.failed {
		loan, err := r.decoder.DecodeBool()
		r.check(err)
		m.Loan = loan
	}
	if r.failed || source.Len() > 0 || m.Kind == 0 || m.From == "" || m.Account == "" {
		return quota.Message{}, ErrMalformed
	}
	return m, nil
}
