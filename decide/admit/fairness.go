package admit

import (
	"math"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// usageDecayTime is the time constant with which earlier grants and refusals
	// of an account lose weight.
	usageDecayTime = 2 * time.Second
	// UsageRetention is how long an account without requests is remembered.
	UsageRetention = 5 * time.Second
	// shareFactor is how many times the mean of the accounts an account can have
	// before its requests wait behind those of the others.
	shareFactor = 2
	// shareAllowance is added to that, in requests: an admission point sees so few
	// requests of most accounts that a single one exceeds the mean.
	shareAllowance = 1
	// minServedRatio is the part of the mean ratio of served requests below which
	// an account is not put behind the others. Without it, an account that always
	// sends more than the others would get nothing while capacity is short. The
	// bound to keep is a quarter.
	minServedRatio = 0.35
)

// Usage is what one account was granted and refused lately. It is a value.
type Usage struct {
	// Granted and Refused are numbers of requests at the time At. They decay.
	Granted, Refused float64
	At               time.Time
}

// Observe returns the usage with one more request that was granted or refused.
func (u Usage) Observe(now time.Time, granted bool) Usage {
	u = u.at(now)
	if granted {
		u.Granted++
	} else {
		u.Refused++
	}
	return u
}

// at returns the usage as of the given time.
func (u Usage) at(now time.Time) Usage {
	weight := math.Exp(-float64(now.Sub(u.At)) / float64(usageDecayTime))
	return Usage{Granted: u.Granted * weight, Refused: u.Refused * weight, At: now}
}

// Expired reports whether the usage no longer needs to be kept.
func (u Usage) Expired(now time.Time) bool { return now.Sub(u.At) >= UsageRetention }

// AccountUsage is the usage of all accounts at one time. Requests without an
// account are one group, under the empty name.
type AccountUsage struct {
	accounts         map[mesh.AccountName]Usage
	granted, refused float64
}

// Add adds the usage of an account as of the given time.
func (a *AccountUsage) Add(now time.Time, name mesh.AccountName, u Usage) {
	if a.accounts == nil {
		a.accounts = make(map[mesh.AccountName]Usage)
	}
	u = u.at(now)
	a.accounts[name] = u
	a.granted += u.Granted
	a.refused += u.Refused
}

// overShare returns by how much the waiting requests, in their order, exceed the
// share of their account: 1 for up to twice the share, 2 for up to four times and so
// on; absent if they don't. Calls belong to no account: their parents were ordered
// already.
func (a *AccountUsage) overShare(requests, waiting []Request) map[string]int {
	used := make(map[mesh.AccountName]float64, len(a.accounts))
	total := 0.0
	for name, u := range a.accounts {
		used[name] = u.Granted
		total += u.Granted
	}
	for _, r := range requests {
		switch {
		case r.Nested:
		case r.State == Granted:
			used[r.Account]++
			total++
		case r.State == Waiting:
			used[r.Account] += 0 // counts the account among those that share
		}
	}
	if len(used) < 2 {
		return nil
	}
	share := shareFactor*total/float64(len(used)) + shareAllowance
	var over map[string]int
	for _, r := range waiting {
		if r.Nested {
			continue
		}
		used[r.Account]++
		if used[r.Account] > share && !a.isStarved(r.Account) {
			if over == nil {
				over = make(map[string]int)
			}
			over[r.ID] = 1 + math.Ilogb(used[r.Account]/share)
		}
	}
	return over
}

// isStarved reports whether the account was served much less often than the mean.
func (a *AccountUsage) isStarved(name mesh.AccountName) bool {
	u := a.accounts[name]
	all := a.granted + a.refused
	if u.Granted+u.Refused == 0 || all == 0 {
		return false
	}
	return u.Granted/(u.Granted+u.Refused) < minServedRatio*a.granted/all
}
