package probe_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/encoding/probe"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Guards against a message about quotas that arrives changed, is taken for one of
// membership or the other way round, or is accepted with another secret.
func TestQuotaMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		codec := probe.NewCodec(rapid.SampledFrom([]string{"", "secret"}).Draw(t, "secret"))
		m := quota.Message{
			Kind:     rapid.SampledFrom([]quota.Kind{quota.Ask, quota.Answer, quota.NotGranting}).Draw(t, "kind"),
			From:     mesh.HostID(rapid.StringMatching("[a-z0-9.]{1,40}").Draw(t, "from")),
			Sequence: rapid.Uint64().Draw(t, "sequence"),
			Account:  mesh.AccountName(rapid.StringMatching("[ -~]{1,200}").Draw(t, "account")),
			Count:    rapid.IntRange(0, quota.MaxTokens).Draw(t, "count"),
			Loan:     rapid.Bool().Draw(t, "loan"),
			Wait:     time.Duration(rapid.IntRange(0, 60_000).Draw(t, "wait")) * time.Millisecond,
		}
		data, err := codec.EncodeQuota(m)
		must.NoError(t, err)
		must.True(t, probe.IsQuota(data))
		got, err := codec.DecodeQuota(data)
		must.NoError(t, err)
		must.Eq(t, m, got)
		_, err = codec.Decode(data)
		must.Error(t, err)
		_, err = probe.NewCodec("another").DecodeQuota(data)
		must.ErrorIs(t, err, probe.ErrNotAuthentic)
		other, err := codec.Encode(membership.Message{Kind: membership.Ping, From: "a"})
		must.NoError(t, err)
		must.False(t, probe.IsQuota(other))
		for cut := range data {
			_, err := codec.DecodeQuota(data[:cut])
			must.Error(t, err)
		}
	})
}

// Guards against a datagram that ends the process or costs much memory.
func FuzzDecodeQuota(f *testing.F) {
	data, err := probe.NewCodec("").EncodeQuota(quota.Message{Kind: quota.Ask, From: "h", Account: "a", Count: 3})
	must.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := probe.NewCodec("").DecodeQuota(data)
		if err != nil {
			return
		}
		must.LessEq(t, quota.MaxTokens, m.Count)
	})
}
