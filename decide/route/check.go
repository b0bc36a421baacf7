package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Fault is one fault of a configuration.
type Fault struct {
	// Location names the entry, such as "rule bookings" or "host fes-1".
	Location string `json:"where"`
	// Field names the field of an entry of approved configuration; empty if the
	// fault concerns the entry as a whole.
	Field string `json:"field,omitempty"`
	// Message describes the fault. The texts of Check are stored in the log's
	// snapshots, as the detail of a refused proposal.
	Message string `json:"what"`
}

// Faults is a list of faults in the order in which they were found.
type Faults []Fault

// Error returns the faults on one line.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, fault := range f {
		texts[i] = fault.Location + ": " + fault.Message
	}
	return strings.Join(texts, "; ")
}

// Bounds of the values in a configuration.
const (
	maxDeadlineMillis  = 3_600_000
	maxRetries         = 5
	maxNameBytes       = 128
	maxHostNameBytes   = 253
	maxPathPrefixBytes = 1024
)

// Check returns every fault of the configuration, in a fixed order: services,
// hosts and rules, each sorted by key, then overlapping rules, then services
// without a host.
func Check(c mesh.Config) Faults {
	var l faultList
	for _, key := range slices.Sorted(maps.Keys(c.Services)) {
		l.checkService(key, c.Services[key])
	}
	for _, key := range slices.Sorted(maps.Keys(c.Hosts)) {
		l.checkHost(c, key, c.Hosts[key])
	}
	for _, key := range slices.Sorted(maps.Keys(c.Rules)) {
		l.checkRule(c, key, c.Rules[key])
	}
	l.checkOverlaps(c)
	l.checkServicesHaveHosts(c)
	return l.faults
}

// faultList collects faults. entry is the entry being checked, the Location of
// the faults added.
type faultList struct {
	entry  string
	faults Faults
}

func (l *faultList) add(format string, values ...any) {
	l.addField("", format, values...)
}

// addField adds a fault of a field of the entry.
func (l *faultList) addField(field, format string, values ...any) {
	l.faults = append(l.faults, Fault{Location: l.entry, Field: field, Message: fmt.Sprintf(format, values...)})
}

// checkKey checks an entry's name and that it equals the entry's key.
func (l *faultList) checkKey(key, name string) {
	if key != name {
		l.add("stands under the name %q", key)
	}
	l.checkName("name", name)
}

// checkName checks a name chosen by operators. field is the field's name in the
// fault.
func (l *faultList) checkName(field, name string) {
	switch {
	case name == "":
		l.add("has no %s", field)
	case len(name) > maxNameBytes:
		l.add("%s is longer than %d bytes", field, maxNameBytes)
	case !HasOnlyNameChars(name):
		l.add("%s %q has other than letters, digits, dots, hyphens and underscores", field, name)
	}
}

// HasOnlyNameChars reports whether the text consists only of ASCII letters and
// digits, dots, hyphens and underscores, so that different names cannot look the
// same. It is true for the empty text.
func HasOnlyNameChars(text string) bool {
	for _, r := range text {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

func (l *faultList) checkService(key mesh.ServiceName, s mesh.Service) {
	l.entry = "service " + string(s.Name)
	l.checkKey(string(key), string(s.Name))
	l.checkName("customer", string(s.Customer))
}

func (l *faultList) checkHost(c mesh.Config, key mesh.HostID, h mesh.Host) {
	l.entry = "host " + string(h.ID)
	l.checkKey(string(key), string(h.ID))
	l.checkName("availability zone", string(h.Zone))
	l.checkServiceExists(c, h.Service)
}

func (l *faultList) checkServiceExists(c mesh.Config, name mesh.ServiceName) {
	if _, found := c.Services[name]; !found {
		l.add("names no existing service: %q", name)
	}
}

func (l *faultList) checkRule(c mesh.Config, key string, r mesh.Rule) {
	l.entry = "rule " + r.ID
	l.checkKey(key, r.ID)
	l.checkHostName(r.HostName)
	l.checkPathPrefix(r.PathPrefix)
	l.checkServiceExists(c, r.Service)
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

func (l *faultList) checkHostName(name string) {
	switch {
	case name == "":
		l.add("names no host name")
	case len(name) > maxHostNameBytes:
		l.add("host name is longer than %d bytes", maxHostNameBytes)
	case !HasOnlyNameChars(name) || strings.HasPrefix(name, ".") || strings.Contains(name, ".."):
		l.add("host name %q is not one", name)
	}
}

// checkPathPrefix requires the normal form, with or without a final slash. Other
// deviations from it are likely mistakes.
func (l *faultList) checkPathPrefix(prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		l.add("path prefix does not begin with /")
	case len(prefix) > maxPathPrefixBytes:
		l.add("path prefix is longer than %d bytes", maxPathPrefixBytes)
	case strings.ContainsFunc(prefix, invalidInPath):
		l.add("path prefix %q has a character that no path has unescaped", prefix)
	case normalizePath(prefix) != prefix && normalizePath(prefix)+"/" != prefix:
		l.add("path prefix %q is not in normal form: write %q", prefix, normalizePath(prefix))
	}
}

// invalidInPath reports whether a character cannot occur unescaped in a path: a
// control character, a space, a non-ASCII character, or one that ends a path or
// starts an escape.
func invalidInPath(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`%?#\`, r)
}

// ruleMatch is what a rule matches, in normal form.
type ruleMatch struct {
	hostName, path string
}

// checkOverlaps reports rules that match the same requests as a rule with a
// smaller key.
func (l *faultList) checkOverlaps(c mesh.Config) {
	firstID := make(map[ruleMatch]string)
	for _, id := range slices.Sorted(maps.Keys(c.Rules)) {
		r := c.Rules[id]
		match := ruleMatch{normalizeHostName(r.HostName), normalizePath(r.PathPrefix)}
		if other, found := firstID[match]; found {
			l.entry = "rule " + id
			l.add("matches the same requests as rule %s", other)
			continue
		}
		firstID[match] = id
	}
}

// checkServicesHaveHosts reports services that have rules but no host.
func (l *faultList) checkServicesHaveHosts(c mesh.Config) {
	hasHost := make(map[mesh.ServiceName]bool)
	for _, h := range c.Hosts {
		hasHost[h.Service] = true
	}
	hasRule := make(map[mesh.ServiceName]bool)
	for _, r := range c.Rules {
		if _, exists := c.Services[r.Service]; exists {
			hasRule[r.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(hasRule)) {
		if !hasHost[name] {
			l.entry = "service " + string(name)
			l.add("has rules but no host in the inventory")
		}
	}
}
