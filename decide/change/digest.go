package change

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// The digests are taken over a byte form of their own, which no codec, map
// order or order of edits has a part in: each text is preceded by its length,
// each list by its count, and each number has eight bytes, big end first. The
// form begins with a word that tells the two digests, and later forms of them,
// apart. Every field that decides anything is in it, so a new field of a rule
// makes a new form.
const (
	proposalForm = "marigoldshelf proposal 1"
	recordForm   = "marigoldshelf record 1"
)

// Digest returns the digest of a proposal's content, which approvals and vetoes
// name: hex SHA-256 over its base and edits.
func Digest(base mesh.Version, edits mesh.Edits) string {
	f := newForm(proposalForm)
	f.number(uint64(base))
	f.edits(edits)
	return f.sum()
}

// Fingerprint returns the digest of a record. Two records with one ID and
// different fingerprints are different requests. The time in the record does
// not count: it differs when a request is repeated.
func Fingerprint(r Record) string {
	f := newForm(recordForm)
	f.text(r.ID)
	f.text(string(r.Kind))
	f.text(r.By.Name)
	f.text(string(r.By.Role))
	f.text(string(r.By.Customer))
	f.text(r.Proposal)
	f.text(r.Digest)
	f.number(uint64(r.Base))
	f.flag(r.Edits != nil)
	if r.Edits != nil {
		f.edits(*r.Edits)
	}
	f.text(r.Reason)
	return f.sum()
}

// form writes the byte form into a hash.
type form struct {
	hash hash.Hash
}

func newForm(name string) form {
	f := form{hash: sha256.New()}
	f.text(name)
	return f
}

func (f form) sum() string { return hex.EncodeToString(f.hash.Sum(nil)) }

func (f form) number(n uint64) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], n)
	f.hash.Write(bytes[:])
}

func (f form) text(s string) {
	f.number(uint64(len(s)))
	f.hash.Write([]byte(s))
}

func (f form) flag(set bool) {
	if set {
		f.number(1)
		return
	}
	f.number(0)
}

func (f form) edits(e mesh.Edits) {
	inOrder(f, e.PutServices, func(s mesh.Service) mesh.ServiceName { return s.Name }, f.service)
	inOrder(f, e.PutHosts, func(h mesh.Host) mesh.HostID { return h.ID }, f.host)
	inOrder(f, e.PutRules, func(r mesh.Rule) string { return r.ID }, f.rule)
	names(f, e.DeleteServices)
	names(f, e.DeleteHosts)
	names(f, e.DeleteRules)
}

func (f form) service(s mesh.Service) {
	f.text(string(s.Name))
	f.text(string(s.Customer))
}

func (f form) host(h mesh.Host) {
	f.text(string(h.ID))
	f.text(string(h.Zone))
	f.text(string(h.Service))
}

func (f form) rule(r mesh.Rule) {
	f.text(r.ID)
	f.text(r.HostName)
	f.text(r.PathPrefix)
	f.text(string(r.Service))
	f.text(string(r.Class))
	f.number(uint64(r.DeadlineMillis))
	f.number(uint64(r.Retries))
	f.flag(r.Hedge)
}

func inOrder[V any, K cmp.Ordered](f form, list []V, key func(V) K, write func(V)) {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b V) int { return cmp.Compare(key(a), key(b)) })
	f.number(uint64(len(sorted)))
	for _, entry := range sorted {
		write(entry)
	}
}

func names[K ~string](f form, list []K) {
	inOrder(f, list, func(k K) K { return k }, func(k K) { f.text(string(k)) })
}
