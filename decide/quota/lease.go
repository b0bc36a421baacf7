package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// minRefusal is how long a node refuses the requests of an account at once
	// after all granting nodes declined. Without it, an account that sends 8 times
	// its usual 360 requests a second would cost each granting node 2,000
	// datagrams a second.
	minRefusal = 250 * time.Millisecond
	// silentTime is how long a node does not ask again after no granting node has
	// answered.
	silentTime = 200 * time.Millisecond
	// skipTime is how long a node does not ask the granting node of its own zone
	// after it has not answered.
	skipTime = time.Second
	// notGrantingSkipTime is the same after it has answered that it does not grant,
	// as it does while it starts or takes over.
	notGrantingSkipTime = 250 * time.Millisecond
	// maxRefusal limits how long requests are refused without asking. The callers'
	// retry delay can be longer.
	maxRefusal = 500 * time.Millisecond
	// useSpan is the span in which the use of tokens is counted, to decide how
	// many to ask for.
	useSpan = 500 * time.Millisecond
	// maxWaiting bounds the requests of an account that wait for a token.
	maxWaiting = 512
	// MaxTokens bounds the tokens of one message.
	MaxTokens = 4096
)

// Tokens are tokens that can be used before Expires.
type Tokens struct {
	Count   int
	Expires time.Time
}

// Lease is what a node holds of an account's quota. It is a value.
type Lease struct {
	Tokens []Tokens
	// RefusedUntil is until when requests are refused at once, because all
	// granting nodes declined.
	RefusedUntil time.Time
	// SilentUntil is until when only the node's own share is used, because no
	// granting node answered.
	SilentUntil time.Time
	// SkipHomeUntil is until when the granting node of the own zone is not asked.
	SkipHomeUntil time.Time
	// SpanStart is the start of the current useSpan, Used the tokens used in it,
	// and UsedBefore those of the span before.
	SpanStart        time.Time
	Used, UsedBefore int
	// Share is the level of the node's own share at ShareAt.
	Share   float64
	ShareAt time.Time
	// UsedAt is when the last request arrived.
	UsedAt time.Time
}

// Outcome is the decision about one request's token.
type Outcome uint8

// The outcomes.
const (
	// Waiting: the request has to wait for an answer.
	Waiting Outcome = iota
	// Granted: the request has a token.
	Granted
	// OverQuota: the account has used up its quota.
	OverQuota
	// Unavailable: no granting node answered.
	Unavailable
)

// Decision is the outcome for one request, with the expiry of its token or the
// time after which the caller can retry.
type Decision struct {
	Outcome    Outcome
	Expires    time.Time
	RetryAfter time.Duration
}

// Take decides about a new request of account a from what the node holds.
func (l Lease) Take(now time.Time, a mesh.Account, d Duty) (Lease, Decision) {
	l = l.counted(now)
	l.UsedAt = now
	l, expires, found := l.takeToken(now)
	switch {
	case found:
		return l, Decision{Outcome: Granted, Expires: expires}
	case now.Before(l.RefusedUntil):
		return l, Decision{Outcome: OverQuota, RetryAfter: l.RefusedUntil.Sub(now)}
	case now.Before(l.SilentUntil):
		return l.takeShare(now, a, d)
	}
	return l, Decision{Outcome: Waiting}
}

// Refuses reports whether a new request is refused at once, and after which time its
// caller can retry.
func (l Lease) Refuses(now time.Time) (retryAfter time.Duration, refuses bool) {
	for _, t := range l.Tokens {
		if t.Count > 0 && now.Before(t.Expires) {
			return 0, false
		}
	}
	return l.RefusedUntil.Sub(now), now.Before(l.RefusedUntil)
}

// takeToken takes the token that expires first.
func (l Lease) takeToken(now time.Time) (next Lease, expires time.Time, found bool) {
	l = l.counted(now)
	l.Tokens = slices.DeleteFunc(slices.Clone(l.Tokens), func(t Tokens) bool { return t.Count <= 0 || !now.Before(t.Expires) })
	if len(l.Tokens) == 0 {
		l.Tokens = nil
		return l, time.Time{}, false
	}
	first := 0
	for i, t := range l.Tokens {
		if t.Expires.Before(l.Tokens[first].Expires) {
			first = i
		}
	}
	l.Tokens[first].Count--
	l.Used++
	return l, l.Tokens[first].Expires, true
}

// takeShare takes a token of the node's own share, which is for the time without
// an answer of any granting node. A node that could not be a granting node itself
// has no share: it may know too few of the other nodes.
func (l Lease) takeShare(now time.Time, a mesh.Account, d Duty) (Lease, Decision) {
	refused := Decision{Outcome: Unavailable, RetryAfter: minRefusal}
	if !d.established(now) {
		return l, refused
	}
	from := l.ShareAt
	if from.Before(d.EligibleAt) {
		from, l.Share = d.EligibleAt, 0
	}
	l.Share = nodeShare(a, d.Nodes).level(l.Share, now.Sub(from))
	l.ShareAt = now
	if l.Share < 1 {
		return l, refused
	}
	l.Share--
	return l, Decision{Outcome: Granted, Expires: now.Add(LeaseValidity)}
}

// Return gives a token back whose request did not run. It keeps its expiry, so
// that tokens cannot be collected for a later burst.
func (l Lease) Return(now, expires time.Time) Lease {
	if !now.Before(expires) {
		return l
	}
	l.Tokens = append(slices.Clone(l.Tokens), Tokens{Count: 1, Expires: expires})
	return l
}

// counted returns the lease with its use counted up to now.
func (l Lease) counted(now time.Time) Lease {
	switch since := now.Sub(l.SpanStart); {
	case since >= 2*useSpan:
		l.Used, l.UsedBefore, l.SpanStart = 0, 0, now
	case since >= useSpan:
		l.Used, l.UsedBefore, l.SpanStart = 0, l.Used, l.SpanStart.Add(useSpan)
	}
	return l
}

// prefetch returns the number of tokens to ask for beyond those of the waiting
// requests: half of what the node used in the span before. Tokens that expire
// unused are lost to the account, so a node with few requests asks for none.
func (l Lease) prefetch() int { return l.UsedBefore / 2 }

// Idle reports whether the row can be deleted.
func (l Lease) Idle(now time.Time) bool { return now.Sub(l.UsedAt) > IdleTimeout }

// Target is a granting node to ask.
type Target struct {
	Host    mesh.HostID
	Address string
	// Home is true for the granting node of the own zone.
	Home bool
}

// Request is a node's request for tokens of an account, and the callers' requests
// that wait for it. It is a value.
type Request struct {
	// Waiting has the IDs of the calls, in order of arrival.
	Waiting []string
	// Targets are the granting nodes that are still to be asked, Started is true
	// once they have been determined.
	Targets []Target
	Started bool
	// Asked is the granting node whose answer is awaited; its Host is empty while
	// there is none.
	Asked    Target
	Sequence uint64
	SentAt   time.Time
	// Late is the question before, whose answer did not come in time. Its tokens are
	// still used if they come while they are valid.
	Late Question
	// Answered is true once a granting node has declined, and Wait the shortest
	// time until a token that one has stated.
	Answered bool
	Wait     time.Duration
}

// Question is a question for tokens that was given up.
type Question struct {
	Host     mesh.HostID
	Sequence uint64
	SentAt   time.Time
	Home     bool
}

// Add returns the request with one more waiting call; false if too many wait.
func (r Request) Add(id string) (Request, bool) {
	if len(r.Waiting) >= maxWaiting {
		return r, false
	}
	r.Waiting = append(slices.Clone(r.Waiting), id)
	return r, true
}

// DueAt returns when the answer is given up; zero while none is awaited.
func (r Request) DueAt() time.Time {
	if r.Asked.Host == "" {
		return time.Time{}
	}
	return r.SentAt.Add(AnswerTimeout)
}

// Answer applies an answer. It is ignored unless it is the one that is awaited, or
// the late one to the question before. The tokens are valid from the time the
// question was sent.
func (r Request) Answer(now time.Time, l Lease, m Message) (Request, Lease) {
	if late := r.Late; m.Kind == Answer && late.Host != "" && m.From == late.Host && m.Sequence == late.Sequence {
		r.Late = Question{}
		if late.Home {
			l.SkipHomeUntil = time.Time{}
		}
		return r, l.with(now, late.SentAt, m.Count)
	}
	if r.Asked.Host == "" || m.Sequence != r.Sequence || m.From != r.Asked.Host {
		return r, l
	}
	asked := r.Asked
	r.Asked = Target{}
	if m.Kind == NotGranting {
		if asked.Home {
			l.SkipHomeUntil = now.Add(notGrantingSkipTime)
		}
		return r, l
	}
	r.Answered = true
	if m.Wait > 0 && (r.Wait == 0 || m.Wait < r.Wait) {
		r.Wait = m.Wait
	}
	return r, l.with(now, r.SentAt, m.Count)
}

// with returns the lease with the tokens of an answer to a question sent at sentAt.
func (l Lease) with(now, sentAt time.Time, count int) Lease {
	if expires := sentAt.Add(LeaseValidity); count > 0 && now.Before(expires) {
		l.Tokens = append(slices.Clone(l.Tokens), Tokens{Count: min(count, MaxTokens), Expires: expires})
	}
	return l
}

// Decided is a decision about a waiting call.
type Decided struct {
	ID string
	Decision
}

// Next gives the tokens of the lease to the waiting calls, asks the next granting
// node if they do not suffice, and refuses the rest once all have declined. ask is
// the number of tokens to ask r.Asked for, zero if nothing has to be sent; the
// caller sets r.Sequence.
func (r Request) Next(now time.Time, l Lease, a mesh.Account, d Duty, random *rand.Rand) (next Request, lease Lease, decided []Decided, ask int) {
	for len(r.Waiting) > 0 {
		taken, expires, found := l.takeToken(now)
		l = taken
		if !found {
			break
		}
		decided = append(decided, Decided{r.Waiting[0], Decision{Outcome: Granted, Expires: expires}})
		r.Waiting = r.Waiting[1:]
	}
	if due := r.DueAt(); !due.IsZero() {
		if now.Before(due) {
			return r, l, decided, 0
		}
		if r.Asked.Home {
			l.SkipHomeUntil = now.Add(skipTime)
		}
		r.Late = Question{Host: r.Asked.Host, Sequence: r.Sequence, SentAt: r.SentAt, Home: r.Asked.Home}
		r.Asked = Target{}
	}
	if len(r.Waiting) == 0 {
		return Request{}, l, decided, 0
	}
	if !r.Started {
		r.Started, r.Targets = true, targets(now, l, a.Name, d, random)
	}
	if len(r.Targets) > 0 {
		r.Asked, r.Targets, r.SentAt = r.Targets[0], r.Targets[1:], now
		ask = len(r.Waiting)
		if r.Asked.Home {
			ask += l.prefetch()
		}
		return r, l, decided, min(ask, MaxTokens)
	}
	l, refused := r.refuse(now, l, a, d)
	return Request{}, l, append(decided, refused...), 0
}

// refuse decides about the waiting calls once no granting node is left to ask.
func (r Request) refuse(now time.Time, l Lease, a mesh.Account, d Duty) (Lease, []Decided) {
	var decided []Decided
	if r.Answered {
		wait := max(r.Wait, minRefusal)
		l.RefusedUntil = now.Add(min(wait, maxRefusal))
		for _, id := range r.Waiting {
			decided = append(decided, Decided{id, Decision{Outcome: OverQuota, RetryAfter: wait}})
		}
		return l, decided
	}
	l.SilentUntil = now.Add(silentTime)
	for _, id := range r.Waiting {
		var decision Decision
		l, decision = l.takeShare(now, a, d)
		decided = append(decided, Decided{id, decision})
	}
	return l, decided
}

// targets returns the granting nodes to ask: that of the own zone, and those of
// others in random order.
func targets(now time.Time, l Lease, a mesh.AccountName, d Duty, random *rand.Rand) []Target {
	var list []Target
	if home, found := d.Granter(d.Self.Zone, a); found && !now.Before(l.SkipHomeUntil) {
		list = append(list, Target{Host: home.Host, Address: home.ProbeAddress, Home: true})
	}
	zones := make([]mesh.Zone, 0, len(d.Live))
	for z := range d.Live {
		if z != d.Self.Zone {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones) // the order of a map is not reproducible
	random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for _, z := range zones {
		if len(list) == maxGrantersAsked {
			break
		}
		if m, found := d.Granter(z, a); found {
			list = append(list, Target{Host: m.Host, Address: m.ProbeAddress})
		}
	}
	return list
}
