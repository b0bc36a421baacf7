package mesh

import "crypto/sha256"

// AccountName names a client account.
type AccountName string

// KeyHash is the SHA-256 hash of an account's key. Only the hash is kept and
// compared, so that no table, log line or timing reveals a key. The zero value
// stands for no key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Account is a client account of approved configuration.
type Account struct {
	Name AccountName
	// Keys has the hashes of the keys that identify the account's requests.
	Keys []KeyHash
	// Priority orders the requests of different accounts, before the priority of
	// their routes; 0 goes first.
	Priority int
	// RatePerSecond is the number of requests that the account can send each
	// second to all nodes together, and Burst how many more at once. A zero rate
	// means no quota.
	RatePerSecond, Burst float64
}

// HasQuota reports whether the requests of the account are limited.
func (a Account) HasQuota() bool { return a.RatePerSecond > 0 }
