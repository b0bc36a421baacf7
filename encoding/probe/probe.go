// Package probe encodes the datagrams of membership: one MessagePack array,
// then a keyed digest when the peers share a secret. What comes from outside
// is read with bounds on every length.
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
	// format is the first number of every datagram.
	format = 1
	// tagLength is the length of the keyed digest, in bytes.
	tagLength = 16
	// fields is the number of fields after the format.
	fields = 11
	// recordFields is the number of fields of a record.
	recordFields = 11
	// reachFields is the number of fields of a zone's reach.
	reachFields = 3
	// digestFields is the number of fields of a digest.
	digestFields = 2
	// maxList bounds a list in a datagram.
	maxList = 128
	// maxText bounds a name or address, in bytes.
	maxText = 255
)

var (
	// ErrMalformed: the datagram is none of this protocol.
	ErrMalformed = eris.New("probe: malformed datagram")
	// ErrTag: the datagram was not made with the peers' secret.
	ErrTag = eris.New("probe: datagram is not authentic")
	// ErrTooLong: the message does not fit into a datagram.
	ErrTooLong = eris.New("probe: message too long")
)

// Codec encodes messages and reads them. The zero value uses no secret. It is
// safe for concurrent use.
type Codec struct {
	secret []byte
}

// NewCodec returns a codec for peers that share secret; an empty one leaves
// datagrams unauthenticated.
func NewCodec(secret string) Codec { return Codec{secret: []byte(secret)} }

// Encode returns the datagram of a message, or ErrTooLong.
func (c Codec) Encode(m membership.Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	w := writer{encoder: encoder}
	w.message(m)
	if w.err != nil {
		return nil, eris.Wrap(w.err, "probe: encode")
	}
	data := buffer.Bytes()
	if len(c.secret) > 0 {
		data = append(data, c.tag(data)...)
	}
	if len(data) > membership.MaxDatagram {
		return nil, ErrTooLong
	}
	return data, nil
}

// Decode reads a datagram. The error is ErrTag or ErrMalformed.
func (c Codec) Decode(data []byte) (membership.Message, error) {
	if len(data) > membership.MaxDatagram {
		return membership.Message{}, ErrMalformed
	}
	if len(c.secret) > 0 {
		body := len(data) - tagLength
		if body < 0 || !hmac.Equal(c.tag(data[:body]), data[body:]) {
			return membership.Message{}, ErrTag
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

func (c Codec) tag(data []byte) []byte {
	mac := hmac.New(sha256.New, c.secret)
	mac.Write(data)
	return mac.Sum(nil)[:tagLength]
}

// writer encodes values and keeps the first error.
type writer struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *writer) note(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) number(n uint64) { w.note(w.encoder.EncodeUint(n)) }
func (w *writer) text(s string)   { w.note(w.encoder.EncodeString(s)) }
func (w *writer) list(length int) { w.note(w.encoder.EncodeArrayLen(length)) }

func (w *writer) message(m membership.Message) {
	w.list(1 + fields)
	w.number(format)
	w.number(uint64(m.Kind))
	w.text(string(m.From))
	w.number(uint64(m.Incarnation))
	w.number(m.Sequence)
	w.text(string(m.Target))
	w.number(uint64(m.Version))
	w.number(uint64(m.Sees))
	w.records(m.News)
	w.reaches(m.Reaches)
	w.digests(m.Digests)
	w.list(3)
	w.text(string(m.Range.Zone))
	w.text(string(m.Range.After))
	w.text(string(m.Range.Through))
}

func (w *writer) records(records []membership.Record) {
	w.list(len(records))
	for _, r := range records {
		m := r.Member
		w.list(recordFields)
		w.text(string(m.Host))
		w.text(string(m.Zone))
		w.text(string(m.Region))
		w.text(string(m.Service))
		w.number(uint64(m.Incarnation))
		w.number(uint64(m.Life))
		w.number(uint64(m.State))
		w.address(m.PeerAddress)
		w.address(m.ProbeAddress)
		w.number(uint64(r.Phase))
		w.text(string(r.By))
	}
}

func (w *writer) reaches(reaches []membership.Reach) {
	w.list(len(reaches))
	for _, r := range reaches {
		w.list(reachFields)
		w.text(string(r.Zone))
		w.number(r.Sequence)
		w.note(w.encoder.EncodeBool(r.Unreachable))
	}
}

func (w *writer) digests(digests []membership.Digest) {
	w.list(len(digests))
	for _, d := range digests {
		w.list(digestFields)
		w.text(string(d.Zone))
		w.number(d.Sum)
	}
}

// address writes IP:port as bytes, or nothing for an empty one.
func (w *writer) address(text string) {
	data, err := packAddress(text)
	w.note(err)
	w.note(w.encoder.EncodeBytes(data))
}

// reader decodes values; after the first fault it returns zero values.
type reader struct {
	decoder *msgpack.Decoder
	source  *bytes.Reader
	failed  bool
}

func (r *reader) note(err error) {
	if err != nil {
		r.failed = true
	}
}

func (r *reader) number() uint64 {
	if r.failed {
		return 0
	}
	n, err := r.decoder.DecodeUint64()
	r.note(err)
	return n
}

// text reads a string; its length is checked before its bytes are read.
func (r *reader) text() string { return string(r.bytes()) }

func (r *reader) bytes() []byte {
	if r.failed {
		return nil
	}
	length, err := r.decoder.DecodeBytesLen()
	r.note(err)
	if r.failed || length <= 0 {
		return nil
	}
	if length > maxText || length > r.source.Len() {
		r.failed = true
		return nil
	}
	data := make([]byte, length)
	r.note(r.decoder.ReadFull(data))
	return data
}

// list reads the length of a list and checks it against the bytes that are
// left.
func (r *reader) list() int {
	if r.failed {
		return 0
	}
	length, err := r.decoder.DecodeArrayLen()
	r.note(err)
	if r.failed || length < 0 || length > maxList || length > r.source.Len() {
		r.failed = true
		return 0
	}
	return length
}

// fixed reads a list that must have the length given.
func (r *reader) fixed(length int) {
	if r.list() != length {
		r.failed = true
	}
}

func (r *reader) message() (m membership.Message) {
	r.fixed(1 + fields)
	if r.number() != format {
		r.failed = true
	}
	m.Kind = membership.Kind(r.small(uint64(membership.Page)))
	m.From = mesh.HostID(r.text())
	m.Incarnation = mesh.Incarnation(r.number())
	m.Sequence = r.number()
	m.Target = mesh.HostID(r.text())
	m.Version = mesh.Version(r.number())
	m.Sees = mesh.Incarnation(r.number())
	m.News = r.records()
	m.Reaches = r.reaches()
	m.Digests = r.digests()
	r.fixed(3)
	m.Range = membership.Range{Zone: mesh.Zone(r.text()), After: mesh.HostID(r.text()), Through: mesh.HostID(r.text())}
	if m.Kind == 0 || m.From == "" {
		r.failed = true
	}
	return m
}

// small reads a number up to limit.
func (r *reader) small(limit uint64) uint64 {
	n := r.number()
	if n > limit {
		r.failed = true
	}
	return n
}

func (r *reader) records() []membership.Record {
	var records []membership.Record
	for range r.list() {
		records = append(records, r.record())
	}
	return records
}

func (r *reader) record() (rec membership.Record) {
	r.fixed(recordFields)
	m := &rec.Member
	m.Host = mesh.HostID(r.text())
	m.Zone = mesh.Zone(r.text())
	m.Region = mesh.Region(r.text())
	m.Service = mesh.ServiceName(r.text())
	m.Incarnation = mesh.Incarnation(r.number())
	m.Life = mesh.Incarnation(r.number())
	m.State = mesh.MemberState(r.small(uint64(mesh.Leaving)))
	m.PeerAddress = r.address()
	m.ProbeAddress = r.address()
	rec.Phase = membership.Phase(r.small(uint64(membership.Gone)))
	rec.By = mesh.HostID(r.text())
	if m.Host == "" || m.Zone == "" || m.State != mesh.Alive && m.State != mesh.Leaving {
		r.failed = true
	}
	return rec
}

func (r *reader) reaches() []membership.Reach {
	var reaches []membership.Reach
	for range r.list() {
		r.fixed(reachFields)
		reach := membership.Reach{Zone: mesh.Zone(r.text()), Sequence: r.number()}
		if !r.failed {
			unreachable, err := r.decoder.DecodeBool()
			r.note(err)
			reach.Unreachable = unreachable
		}
		reaches = append(reaches, reach)
	}
	return reaches
}

func (r *reader) digests() []membership.Digest {
	var digests []membership.Digest
	for range r.list() {
		r.fixed(digestFields)
		digests = append(digests, membership.Digest{Zone: mesh.Zone(r.text()), Sum: r.number()})
	}
	return digests
}

func (r *reader) address() string {
	text, err := unpackAddress(r.bytes())
	r.note(err)
	return text
}
