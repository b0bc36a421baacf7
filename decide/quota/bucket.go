package quota

import (
	"math"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// IdleTimeout is how long the rows of an account without requests are kept.
	IdleTimeout = 10 * time.Second
	// needSpan is the time constant of Bucket.Need.
	needSpan = 500 * time.Millisecond
	// maxTokenWait bounds the time until the next token that an answer states.
	maxTokenWait = 5 * time.Second
)

// Bucket is the token bucket of an account at the granting node of a zone. It is
// a value.
type Bucket struct {
	// Since is when this node became the account's granting node. The bucket was
	// empty then.
	Since time.Time
	// Level is the number of tokens at the time At.
	Level float64
	At    time.Time
	// Need is a decaying sum of the tokens that the own zone has been granted
	// within about needSpan.
	Need float64
	// UsedAt is when the last request for tokens arrived.
	UsedAt time.Time
}

// Grant takes up to count tokens for a node of the own zone or, for a loan, of
// another zone. A loan leaves half of what the own zone has needed recently. The
// result wait is the time until the next token, if fewer than count are granted.
//
// A bucket of an earlier granting period than since starts empty at since.
func (b Bucket) Grant(now, since time.Time, r Refill, count int, loan bool) (next Bucket, granted int, wait time.Duration) {
	if since.After(b.Since) {
		b = Bucket{Since: since, At: since}
	}
	elapsed := max(now.Sub(b.At), 0)
	b.Level = r.level(b.Level, elapsed)
	b.Need *= math.Exp(-elapsed.Seconds() / needSpan.Seconds())
	b.At, b.UsedAt = now, now
	reserve := 0.0
	if loan {
		reserve = min(b.Need, r.Capacity) / 2
	}
	granted = min(max(int(b.Level-reserve), 0), max(count, 0))
	b.Level -= float64(granted)
	if !loan {
		b.Need += float64(granted)
	}
	if granted < count {
		wait = tokenWait(1+reserve-b.Level, r.Rate)
	}
	return b, granted, wait
}

// tokenWait returns how long it takes to create the given number of tokens.
func tokenWait(tokens, rate float64) time.Duration {
	if rate <= 0 || tokens/rate > maxTokenWait.Seconds() {
		return maxTokenWait
	}
	return max(time.Duration(tokens/rate*float64(time.Second)), time.Millisecond)
}

// Idle reports whether the row can be deleted: it was not used for IdleTimeout,
// and is full, so that a new row would hold no more.
func (b Bucket) Idle(now time.Time, r Refill) bool {
	return now.Sub(b.UsedAt) > IdleTimeout && r.level(b.Level, now.Sub(b.At)) >= r.Capacity
}

// Grant answers a message that asks for tokens of account a. granting is false,
// and the bucket unchanged, if this node is not the account's granting node, or
// has not been confirmed by a peer recently.
func (d Duty) Grant(now time.Time, self membership.Self, a mesh.Account, b Bucket, m Message) (answer Message, next Bucket, granting bool) {
	answer = Message{Kind: NotGranting, From: d.Self.Host, Sequence: m.Sequence, Account: m.Account}
	since, grants := d.GrantsSince(now, m.Account)
	// After a pause of the process, self can be confirmed before the duty has seen
	// that the confirmation had ended.
	isStale := self.Status != membership.SoleMember && now.After(d.confirmedUntil)
	if !grants || isStale || !self.Confirmed(now) || !a.HasQuota() {
		return answer, b, false
	}
	answer.Kind = Answer
	next, answer.Count, answer.Wait = b.Grant(now, since, ZoneRefill(a, d.Zones), min(m.Count, MaxTokens), m.Loan)
	return answer, next, true
}
