// Package probe encodes the datagrams of the membership protocol. A datagram is
// one MessagePack array with a fixed order of fields, followed by an
// authentication tag (truncated HMAC-SHA-256) if the peers share a secret.
// Decoding bounds every length, because datagrams come from the network.
package probe

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// formatVersion is the first number of every datagram.
	formatVersion = 1
	// tagBytes is the length of the authentication tag.
	tagBytes = 16
	// messageFields is the number of fields after the format version.
	messageFields = 11
	// recordFields is the number of fields of a membership record.
	recordFields = 11
	// reachabilityFields is the number of fields of a zone's reachability.
	reachabilityFields = 3
	// digestFields is the number of fields of a zone's digest.
	digestFields = 2
	// maxListLength bounds the elements of a list.
	maxListLength = 128
	// maxTextBytes bounds a name or address.
	maxTextBytes = 255
)

var (
	// ErrMalformed: the datagram does not follow the format of this package.
	ErrMalformed = eris.New("probe: malformed datagram")
	// ErrNotAuthentic: the authentication tag is missing or was not made with
	// the peers' secret.
	ErrNotAuthentic = eris.New("probe: datagram is not authentic")
	// ErrTooLong: the encoded message exceeds membership.MaxDatagramBytes.
	ErrTooLong = eris.New("probe: message too long")
)

// Codec encodes and decodes membership messages. The zero value uses no secret.
// It is safe for concurrent use.
type Codec struct {
	secret []byte
}

// NewCodec returns a codec for peers that share secret. With an empty secret,
// datagrams are not authenticated.
func NewCodec(secret string) Codec { return Codec{secret: []byte(secret)} }

// Encode returns the datagram of a message. It returns ErrTooLong if the
// datagram would be too large, and another error for a malformed address.
func (c Codec) Encode(m membership.Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	w := writer{encoder: encoder}
	w.message(m)
	if w.err != nil {
		return nil, eris.Wrap(w.err, "probe: encode message")
	}
	data := buffer.Bytes()
	if len(c.secret) > 0 {
		data = append(data, c.tag(data)...)
	}
	if len(data) > membership.MaxDatagramBytes {
		return nil, ErrTooLong
	}
	return data, nil
}

// Decode authenticates and decodes a datagram. The error is ErrNotAuthentic
// or ErrMalformed.
func (c Codec) Decode(data []byte) (membership.Message, error) {
	if len(data) > membership.MaxDatagramBytes {
		return membership.Message{}, ErrMalformed
	}
	if len(c.secret) > 0 {
		body := len(data) - tagBytes
		if body < 0 || !hmac.Equal(c.tag(data[:body]), data[body:]) {
			return membership.Message{}, ErrNotAuthentic
		}
		data = data[:body]
	}
	source := bytes.NewReader(data)
	r := reader{decoder: msgpack.NewDecoder(source), source: source}
	m := r.message()
	if r.failed || source.Len() > 0 {
		return membership.Message{}, ErrMalformed
	}
	return m, nil
}

// tag returns the authentication tag of data.
func (c Codec) tag(data []byte) []byte {
	mac := hmac.New(sha256.New, c.secret)
	mac.Write(data)
	return mac.Sum(nil)[:tagBytes]
}

// writer encodes values and keeps the first error. Its methods encode the fields
// in the order in which the methods of reader decode them.
type writer struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *writer) check(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) number(n uint64)        { w.check(w.encoder.EncodeUint(n)) }
func (w *writer) text(s string)          { w.check(w.encoder.EncodeString(s)) }
func (w *writer) arrayLength(length int) { w.check(w.encoder.EncodeArrayLen(length)) }

func (w *writer) message(m membership.Message) {
	w.arrayLength(1 + messageFields)
	w.number(formatVersion)
	w.number(uint64(m.Kind))
	w.text(string(m.From))
	w.number(uint64(m.Incarnation))
	w.number(m.Sequence)
	w.text(string(m.Target))
	w.number(uint64(m.ConfigVersion))
	w.number(uint64(m.ReceiverIncarnation))
	w.records(m.Records)
	w.reachability(m.Reachability)
	w.digests(m.Digests)
	w.arrayLength(3)
	w.text(string(m.Range.Zone))
	w.text(string(m.Range.After))
	w.text(string(m.Range.Through))
}

func (w *writer) records(records []membership.Record) {
	w.arrayLength(len(records))
	for _, r := range records {
		m := r.Member
		w.arrayLength(recordFields)
		w.text(string(m.Host))
		w.text(string(m.Zone))
		w.text(string(m.Region))
		w.text(string(m.Service))
		w.number(uint64(m.Incarnation))
		w.number(uint64(m.StartIncarnation))
		w.number(uint64(m.State))
		w.address(m.PeerAddress)
		w.address(m.ProbeAddress)
		w.number(uint64(r.Phase))
		w.text(string(r.Reporter))
	}
}

func (w *writer) reachability(reachability []membership.Reachability) {
	w.arrayLength(len(reachability))
	for _, r := range reachability {
		w.arrayLength(reachabilityFields)
		w.text(string(r.Zone))
		w.number(r.Sequence)
		w.check(w.encoder.EncodeBool(r.Unreachable))
	}
}

func (w *writer) digests(digests []membership.Digest) {
	w.arrayLength(len(digests))
	for _, d := range digests {
		w.arrayLength(digestFields)
		w.text(string(d.Zone))
		w.number(d.Sum)
	}
}

// address encodes IP:port in binary form, and an empty address as no bytes.
func (w *writer) address(text string) {
	data, err := packAddress(text)
	w.check(err)
	w.check(w.encoder.EncodeBytes(data))
}

// reader decodes values. After the first malformed one it returns zero values.
type reader struct {
	decoder *msgpack.Decoder
	source  *bytes.Reader
	failed  bool
}

func (r *reader) check(err error) {
	if err != nil {
		r.failed = true
	}
}

func (r *reader) number() uint64 {
	if r.failed {
		return 0
	}
	n, err := r.decoder.DecodeUint64()
	r.check(err)
	return n
}

func (r *reader) text() string { return string(r.bytes()) }

// bytes decodes a byte string. It checks the length before it allocates.
func (r *reader) bytes() []byte {
	if r.failed {
		return nil
	}
	length, err := r.decoder.DecodeBytesLen()
	r.check(err)
	if r.failed || length <= 0 {
		return nil
	}
	if length > maxTextBytes || length > r.source.Len() {
		r.failed = true
		return nil
	}
	data := make([]byte, length)
	r.check(r.decoder.ReadFull(data))
	return data
}

// arrayLength decodes the length of an array. It must not exceed the number of
// bytes that are left, since an element takes at least one.
func (r *reader) arrayLength() int {
	if r.failed {
		return 0
	}
	length, err := r.decoder.DecodeArrayLen()
	r.check(err)
	if r.failed || length < 0 || length > maxListLength || length > r.source.Len() {
		r.failed = true
		return 0
	}
	return length
}

// expectArray decodes the length of an array, which must equal length.
func (r *reader) expectArray(length int) {
	if r.arrayLength() != length {
		r.failed = true
	}
}

func (r *reader) message() (m membership.Message) {
	r.expectArray(1 + messageFields)
	if r.number() != formatVersion {
		r.failed = true
	}
	m.Kind = membership.Kind(r.numberUpTo(uint64(membership.Page)))
	m.From = mesh.HostID(r.text())
	m.Incarnation = mesh.Incarnation(r.number())
	m.Sequence = r.number()
	m.Target = mesh.HostID(r.text())
	m.ConfigVersion = mesh.Version(r.number())
	m.ReceiverIncarnation = mesh.Incarnation(r.number())
	m.Records = r.records()
	m.Reachability = r.reachability()
	m.Digests = r.digests()
	r.expectArray(3)
	m.Range = membership.Range{Zone: mesh.Zone(r.text()), After: mesh.HostID(r.text()), Through: mesh.HostID(r.text())}
	if m.Kind == 0 || m.From == "" {
		r.failed = true
	}
	return m
}

// numberUpTo decodes a number, which must not exceed limit.
func (r *reader) numberUpTo(limit uint64) uint64 {
	n := r.number()
	if n > limit {
		r.failed = true
	}
	return n
}

func (r *reader) records() []membership.Record {
	var records []membership.Record
	for range r.arrayLength() {
		records = append(records, r.record())
	}
	return records
}

func (r *reader) record() (rec membership.Record) {
	r.expectArray(recordFields)
	m := &rec.Member
	m.Host = mesh.HostID(r.text())
	m.Zone = mesh.Zone(r.text())
	m.Region = mesh.Region(r.text())
	m.Service = mesh.ServiceName(r.text())
	m.Incarnation = mesh.Incarnation(r.number())
	m.StartIncarnation = mesh.Incarnation(r.number())
	m.State = mesh.MemberState(r.numberUpTo(uint64(mesh.Leaving)))
	m.PeerAddress = r.address()
	m.ProbeAddress = r.address()
	rec.Phase = membership.Phase(r.numberUpTo(uint64(membership.Gone)))
	rec.Reporter = mesh.HostID(r.text())
	if m.Host == "" || m.Zone == "" || m.State != mesh.Alive && m.State != mesh.Leaving {
		r.failed = true
	}
	return rec
}

func (r *reader) reachability() []membership.Reachability {
	var reachability []membership.Reachability
	for range r.arrayLength() {
		r.expectArray(reachabilityFields)
		zone := membership.Reachability{Zone: mesh.Zone(r.text()), Sequence: r.number()}
		if !r.failed {
			unreachable, err := r.decoder.DecodeBool()
			r.check(err)
			zone.Unreachable = unreachable
		}
		reachability = append(reachability, zone)
	}
	return reachability
}

func (r *reader) digests() []membership.Digest {
	var digests []membership.Digest
	for range r.arrayLength() {
		r.expectArray(digestFields)
		digests = append(digests, membership.Digest{Zone: mesh.Zone(r.text()), Sum: r.number()})
	}
	return digests
}

func (r *reader) address() string {
	text, err := unpackAddress(r.bytes())
	r.check(err)
	return text
}
