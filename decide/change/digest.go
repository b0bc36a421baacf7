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

// Digests are computed over a canonical encoding that does not depend on a
// codec, on map order or on the order of edits. A string is preceded by its
// length and a list by its count; numbers are 8 bytes, big-endian. The encoding
// starts with a domain string that separates the two digests from each other
// and from later versions of the encoding. It covers every field that affects
// a decision, so a new field of a rule needs a new domain string.
const (
	proposalDomain = "marigoldshelf proposal 1"
	recordDomain   = "marigoldshelf record 1"
)

// Digest returns the digest of a proposal's content: hex SHA-256 over its base
// and edits. Approvals and vetoes carry it.
func Digest(base mesh.Version, edits mesh.Edits) string {
	h := newCanonicalHasher(proposalDomain)
	h.writeUint64(uint64(base))
	h.writeEdits(edits)
	return h.sum()
}

// Fingerprint returns the digest of a record. Two records with the same ID and
// different fingerprints are different requests. AtMillis is not covered,
// because it differs when a request is repeated.
func Fingerprint(r Record) string {
	h := newCanonicalHasher(recordDomain)
	h.writeString(r.ID)
	h.writeString(string(r.Kind))
	h.writeString(r.Author.Name)
	h.writeString(string(r.Author.Role))
	h.writeString(string(r.Author.Customer))
	h.writeString(r.Proposal)
	h.writeString(r.Digest)
	h.writeUint64(uint64(r.Base))
	h.writeBool(r.Edits != nil)
	if r.Edits != nil {
		h.writeEdits(*r.Edits)
	}
	h.writeString(r.Reason)
	return h.sum()
}

// canonicalHasher writes the canonical encoding into a hash.
type canonicalHasher struct {
	hash hash.Hash
}

func newCanonicalHasher(domain string) canonicalHasher {
	h := canonicalHasher{hash: sha256.New()}
	h.writeString(domain)
	return h
}

func (h canonicalHasher) sum() string { return hex.EncodeToString(h.hash.Sum(nil)) }

func (h canonicalHasher) writeUint64(n uint64) {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], n)
	h.hash.Write(buf[:])
}

func (h canonicalHasher) writeString(s string) {
	h.writeUint64(uint64(len(s)))
	h.hash.Write([]byte(s))
}

func (h canonicalHasher) writeBool(set bool) {
	if set {
		h.writeUint64(1)
		return
	}
	h.writeUint64(0)
}

func (h canonicalHasher) writeEdits(e mesh.Edits) {
	writeSorted(h, e.PutServices, func(s mesh.Service) mesh.ServiceName { return s.Name }, h.writeService)
	writeSorted(h, e.PutHosts, func(host mesh.Host) mesh.HostID { return host.ID }, h.writeHost)
	writeSorted(h, e.PutRules, func(r mesh.Rule) string { return r.ID }, h.writeRule)
	writeSortedNames(h, e.DeleteServices)
	writeSortedNames(h, e.DeleteHosts)
	writeSortedNames(h, e.DeleteRules)
}

func (h canonicalHasher) writeService(s mesh.Service) {
	h.writeString(string(s.Name))
	h.writeString(string(s.Customer))
}

func (h canonicalHasher) writeHost(host mesh.Host) {
	h.writeString(string(host.ID))
	h.writeString(string(host.Zone))
	h.writeString(string(host.Service))
}

func (h canonicalHasher) writeRule(r mesh.Rule) {
	h.writeString(r.ID)
	h.writeString(r.HostName)
	h.writeString(r.PathPrefix)
	h.writeString(string(r.Service))
	h.writeString(string(r.Class))
	h.writeUint64(uint64(r.DeadlineMillis))
	h.writeUint64(uint64(r.Retries))
	h.writeBool(r.Hedge)
}

// writeSorted writes the number of entries, then the entries in the order of
// their keys.
func writeSorted[V any, K cmp.Ordered](h canonicalHasher, list []V, key func(V) K, write func(V)) {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b V) int { return cmp.Compare(key(a), key(b)) })
	h.writeUint64(uint64(len(sorted)))
	for _, entry := range sorted {
		write(entry)
	}
}

func writeSortedNames[K ~string](h canonicalHasher, list []K) {
	writeSorted(h, list, func(k K) K { return k }, func(k K) { h.writeString(string(k)) })
}
