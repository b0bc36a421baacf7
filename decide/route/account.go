package route

import (
	"golang.org/x/net/http/httpguts"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// accountIndex has the client accounts of a configuration by name, and their
// names by the hash of each key.
type accountIndex struct {
	byName map[mesh.AccountName]mesh.Account
	byKey  map[mesh.KeyHash]mesh.AccountName
}

// indexAccounts returns the index of the accounts and adds their faults. A key of
// two accounts is a fault, because it does not say whose request it is.
func (l *faultList) indexAccounts(accounts []mesh.Account) accountIndex {
	index := accountIndex{
		byName: make(map[mesh.AccountName]mesh.Account, len(accounts)),
		byKey:  make(map[mesh.KeyHash]mesh.AccountName, len(accounts)),
	}
	for _, a := range accounts {
		l.entry = "account " + string(a.Name)
		if a.Name == "" || !httpguts.ValidHeaderFieldValue(string(a.Name)) {
			l.addField("name", "has no name that fits into a header")
		}
		if _, exists := index.byName[a.Name]; exists {
			l.addField("name", "is defined twice")
		}
		if a.RatePerSecond < 0 || a.Burst < 0 || a.Priority < 0 {
			l.add("has a negative rate, burst or priority")
		}
		index.byName[a.Name] = a
		for _, key := range a.Keys {
			if other, exists := index.byKey[key]; exists && other != a.Name {
				l.addField("keys", "shares a key with account %s", other)
			}
			index.byKey[key] = a.Name
		}
	}
	return index
}

// HasAccounts reports whether the configuration has client accounts, so that
// requests need a key.
func (t *Table) HasAccounts() bool { return len(t.accounts.byName) > 0 }

// Account returns the account with the given name, and whether there is one.
func (t *Table) Account(name mesh.AccountName) (mesh.Account, bool) {
	a, found := t.accounts.byName[name]
	return a, found
}

// AccountOf returns the account that a key identifies, and whether there is one.
func (t *Table) AccountOf(key mesh.KeyHash) (mesh.Account, bool) {
	name, found := t.accounts.byKey[key]
	if !found {
		return mesh.Account{}, false
	}
	return t.Account(name)
}
