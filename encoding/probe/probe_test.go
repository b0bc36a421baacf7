package probe_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/encoding/probe"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const secret = "a secret of the peers"

func record() membership.Record {
	return membership.Record{
		Member: mesh.Member{
			Host: "fes-01", Zone: "fes", Region: "north", Service: "desk",
			Incarnation: 1_700_000_000_000_000_002, StartIncarnation: 1_700_000_000_000_000_000, State: mesh.Leaving,
			PeerAddress: "10.0.0.1:7200", ProbeAddress: "[fd00::1]:7200",
		},
		Phase: membership.Suspected, Reporter: "fes-02",
	}
}

func messages() []membership.Message {
	return []membership.Message{
		{Kind: membership.Ping, From: "fes-02", Incarnation: 7, Sequence: 1 << 40, Target: "fes-01"},
		{Kind: membership.Ack, From: "fes-02", Target: "fes-01", ReceiverIncarnation: 9, Records: []membership.Record{record(), record()}},
		{Kind: membership.Gossip, From: "fes-02", Reachability: []membership.Reachability{{Zone: "fes", Sequence: 3, Unreachable: true}}},
		{Kind: membership.Sync, From: "fes-02", Digests: []membership.Digest{{Zone: "fes", Sum: 1<<64 - 1}}},
		{Kind: membership.Page, From: "fes-02", Range: membership.Range{Zone: "fes", After: "a", Through: "b"}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for _, codec := range []probe.Codec{probe.NewCodec(""), probe.NewCodec(secret)} {
		for _, m := range messages() {
			data, err := codec.Encode(m)
			must.NoError(t, err)
			decoded, err := codec.Decode(data)
			must.NoError(t, err)
			must.Eq(t, m, decoded)
		}
	}
}

// TestDecodeRejectsForgedDatagrams decodes authenticated datagrams with one bit
// changed in each byte, one without a tag, and one with another secret.
func TestDecodeRejectsForgedDatagrams(t *testing.T) {
	codec := probe.NewCodec(secret)
	data, err := codec.Encode(messages()[1])
	must.NoError(t, err)
	for i := range data {
		forged := append([]byte(nil), data...)
		forged[i] ^= 1
		_, err := codec.Decode(forged)
		must.ErrorIs(t, err, probe.ErrNotAuthentic)
	}
	untagged, err := probe.NewCodec("").Encode(messages()[1])
	must.NoError(t, err)
	_, err = codec.Decode(untagged)
	must.ErrorIs(t, err, probe.ErrNotAuthentic)
	_, err = probe.NewCodec("another secret of others").Decode(data)
	must.ErrorIs(t, err, probe.ErrNotAuthentic)
}

// TestPagesFitIntoDatagrams checks that pages of records with long names fit
// into a datagram. Pages are split by estimated size, so an estimate that is
// too low would make pages that cannot be sent.
func TestPagesFitIntoDatagrams(t *testing.T) {
	codec := probe.NewCodec(secret)
	for _, length := range []int{4, 20, 40, 64} {
		var records []membership.Record
		for i := range 100 {
			r := record()
			name := make([]byte, length)
			for j := range name {
				name[j] = byte('a' + (i+j)%26)
			}
			r.Member.Host, r.Member.Service, r.Member.Region, r.Member.Zone = mesh.HostID(name), mesh.ServiceName(name), mesh.Region(name), mesh.Zone(name)
			r.Reporter = r.Member.Host
			records = append(records, r)
		}
		for _, page := range membership.PaginateRecords(records[0].Member.Zone, records) {
			page.From = records[0].Member.Host
			_, err := codec.Encode(page)
			must.NoError(t, err, must.Sprintf("names of %d bytes", length))
		}
	}
}

func TestEncodeRejectsOversizedMessage(t *testing.T) {
	m := messages()[1]
	for range 30 {
		m.Records = append(m.Records, record())
	}
	_, err := probe.NewCodec("").Encode(m)
	must.ErrorIs(t, err, probe.ErrTooLong)
}

// FuzzDecode decodes arbitrary datagrams. Decode must not panic, and a message
// that it accepts must survive another round trip.
func FuzzDecode(f *testing.F) {
	codec := probe.NewCodec("")
	for _, m := range messages() {
		data, err := codec.Encode(m)
		must.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x9b, 0x01, 0x01, 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := codec.Decode(data)
		if err != nil {
			return
		}
		again, err := codec.Encode(m)
		if err != nil {
			return // the encoding of a decoded message can be longer than the input
		}
		decoded, err := codec.Decode(again)
		must.NoError(t, err)
		must.Eq(t, m, decoded)
	})
}

func BenchmarkPing(b *testing.B) {
	codec := probe.NewCodec(secret)
	m := messages()[0]
	m.Incarnation = record().Member.Incarnation
	data, err := codec.Encode(m)
	must.NoError(b, err)
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		sent, err := codec.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := codec.Decode(sent); err != nil {
			b.Fatal(err)
		}
	}
}
