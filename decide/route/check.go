package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Fault is one thing wrong with a configuration.
type Fault struct {
	// Where names the entry, such as "rule bookings" or "host fes-1".
	Where string `json:"where"`
	// What says what is wrong with it.
	What string `json:"what"`
}

// Faults is every fault of a configuration, in the order of the entries.
type Faults []Fault

// Error returns the faults on one line.
func (f Faults) Error() string {
	parts := make([]string, len(f))
	for i, fault := range f {
		parts[i] = fault.Where + ": " + fault.What
	}
	return strings.Join(parts, "; ")
}

// Bounds of the values in a configuration.
const (
	maxDeadlineMillis  = 3_600_000
	maxRetries         = 5
	maxNameBytes       = 128
	maxHostNameBytes   = 253
	maxPathPrefixBytes = 1024
)

// Check returns every fault of the configuration.
func Check(c mesh.Config) Faults {
	var l faultList
	for _, key := range slices.Sorted(maps.Keys(c.Services)) {
		l.service(key, c.Services[key])
	}
	for _, key := range slices.Sorted(maps.Keys(c.Hosts)) {
		l.host(c, key, c.Hosts[key])
	}
	for _, key := range slices.Sorted(maps.Keys(c.Rules)) {
		l.rule(c, key, c.Rules[key])
	}
	l.overlaps(c)
	l.unserved(c)
	return l.faults
}

// faultList collects the faults of one entry after the other.
type faultList struct {
	where  string
	faults Faults
}

func (l *faultList) add(format string, values ...any) {
	l.faults = append(l.faults, Fault{l.where, fmt.Sprintf(format, values...)})
}

// key checks an entry's name, and that the entry stands under it.
func (l *faultList) key(key, name string) {
	if key != name {
		l.add("stands under the name %q", key)
	}
	l.name("name", name)
}

// name checks a name that operators choose.
func (l *faultList) name(what, name string) {
	switch {
	case name == "":
		l.add("has no %s", what)
	case len(name) > maxNameBytes:
		l.add("%s is longer than %d bytes", what, maxNameBytes)
	case !PlainName(name):
		l.add("%s %q has other than letters, digits, dots, hyphens and underscores", what, name)
	}
}

// PlainName reports whether the text has only ASCII letters and digits, dots,
// hyphens and underscores, so that two names that look alike are the same.
func PlainName(text string) bool {
	for _, r := range text {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

func (l *faultList) service(key mesh.ServiceName, s mesh.Service) {
	l.where = "service " + string(s.Name)
	l.key(string(key), string(s.Name))
	l.name("customer", string(s.Customer))
}

func (l *faultList) host(c mesh.Config, key mesh.HostID, h mesh.Host) {
	l.where = "host " + string(h.ID)
	l.key(string(key), string(h.ID))
	l.name("availability zone", string(h.Zone))
	l.existing(c, h.Service)
}

func (l *faultList) existing(c mesh.Config, name mesh.ServiceName) {
	if _, found := c.Services[name]; !found {
		l.add("names no existing service: %q", name)
	}
}

func (l *faultList) rule(c mesh.Config, key string, r mesh.Rule) {
	l.where = "rule " + r.ID
	l.key(key, r.ID)
	l.hostName(r.HostName)
	l.pathPrefix(r.PathPrefix)
	l.existing(c, r.Service)
	if !r.Class.Valid() {
		l.add("unknown class: %q", r.Class)
	}
	if r.DeadlineMillis < 1 || r.DeadlineMillis > maxDeadlineMillis {
		l.add("deadline_ms %d not in 1 to %d", r.DeadlineMillis, maxDeadlineMillis)
	}
	if r.Retries < 0 || r.Retries > maxRetries {
		l.add("retries %d not in 0 to %d", r.Retries, maxRetries)
	}
	if r.Hedge && r.Class != mesh.Lookup {
		l.add("only lookups may be hedged")
	}
}

func (l *faultList) hostName(name string) {
	switch {
	case name == "":
		l.add("names no host name")
	case len(name) > maxHostNameBytes:
		l.add("host name is longer than %d bytes", maxHostNameBytes)
	case !PlainName(name) || strings.HasPrefix(name, ".") || strings.Contains(name, ".."):
		l.add("host name %q is not one", name)
	}
}

// pathPrefix accepts a slash at the end; other departures from the normal form
// are likely mistakes.
func (l *faultList) pathPrefix(prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		l.add("path prefix does not begin with /")
	case len(prefix) > maxPathPrefixBytes:
		l.add("path prefix is longer than %d bytes", maxPathPrefixBytes)
	case strings.ContainsFunc(prefix, notInPath):
		l.add("path prefix %q has a character that no path has unescaped", prefix)
	case normalPath(prefix) != prefix && normalPath(prefix)+"/" != prefix:
		l.add("path prefix %q is not in normal form: write %q", prefix, normalPath(prefix))
	}
}

// notInPath reports characters that end a path or stand for others in it.
func notInPath(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`%?#\`, r)
}

// match is what a rule matches, in normal form.
type match struct {
	hostName, path string
}

// overlaps finds rules that match the same requests.
func (l *faultList) overlaps(c mesh.Config) {
	first := make(map[match]string)
	for _, id := range slices.Sorted(maps.Keys(c.Rules)) {
		r := c.Rules[id]
		m := match{normalHostName(r.HostName), normalPath(r.PathPrefix)}
		if other, taken := first[m]; taken {
			l.where = "rule " + id
			l.add("matches the same requests as rule %s", other)
			continue
		}
		first[m] = id
	}
}

// unserved finds services that rules send requests to, but that have no host.
func (l *faultList) unserved(c mesh.Config) {
	served := make(map[mesh.ServiceName]bool)
	for _, h := range c.Hosts {
		served[h.Service] = true
	}
	ruled := make(map[mesh.ServiceName]bool)
	for _, r := range c.Rules {
		if _, exists := c.Services[r.Service]; exists {
			ruled[r.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(ruled)) {
		if !served[name] {
			l.where = "service " + string(name)
			l.add("has rules but no host in the inventory")
		}
	}
}
