// Package audit reviews approved configuration before it is in force: its faults,
// entries that have no effect, settings that contradict each other, and the
// differences from another version.
package audit

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Finding is a fault or a warning about one entry.
type Finding struct {
	Entry   string `json:"entry"`           // kind and name, such as "route bookings"
	Field   string `json:"field,omitempty"` // empty for the entry as a whole
	Problem string `json:"problem"`
}

// Errors returns why a node would reject the configuration.
func Errors(a mesh.ApprovedConfig) []Finding {
	_, faults := route.CompileApproved(a)
	findings := make([]Finding, 0, len(faults))
	for _, fault := range faults {
		findings = append(findings, Finding{Entry: fault.Location, Field: fault.Field, Problem: fault.Message})
	}
	return findings
}

// warnings collects findings.
type warnings []Finding

func (w *warnings) add(entry, field, format string, values ...any) {
	*w = append(*w, Finding{entry, field, fmt.Sprintf(format, values...)})
}

// Warnings returns what a node accepts but the operator can hardly mean: entries
// that are read only in part or have no effect, and limits that contradict each
// other.
func Warnings(a mesh.ApprovedConfig) []Finding {
	var w warnings
	for _, warning := range a.Warnings {
		w.add(warning.Entry, "", "%s", warning.Problem)
	}
	routed := make(map[mesh.ServiceName]bool)
	names := make(map[string]bool)
	for _, r := range a.Routes {
		entry := "route " + r.ID
		if names[r.ID] {
			w.add(entry, "name", "another route has the same name")
		}
		names[r.ID] = true
		w.addRoute(entry, r, a, routed)
	}
	for _, name := range slices.Sorted(maps.Keys(a.MaxConnections)) {
		if !routed[name] {
			w.add("service "+string(name), "", "no route leads to the service")
		}
	}
	for _, account := range a.Accounts {
		w.addAccount(account)
	}
	return w
}

// addRoute adds the warnings about a route and its services to routed.
func (w *warnings) addRoute(entry string, r mesh.Route, a mesh.ApprovedConfig, routed map[mesh.ServiceName]bool) {
	shares := r.Split
	if len(shares) == 0 {
		shares = []mesh.WeightedService{{Service: r.Service, Weight: 1}}
	} else if r.Service != "" {
		w.add(entry, "service", "has no effect beside a split")
	}
	for _, share := range shares {
		if share.Weight == 0 {
			w.add(entry, "split", "service %s has weight 0 and gets no requests", share.Service)
			continue
		}
		routed[share.Service] = true
		if _, exists := a.MaxConnections[share.Service]; !exists && share.Service != "" {
			w.add(entry, "service", "service %s has no entry", share.Service)
		}
	}
	timeout := time.Duration(r.DeadlineMillis) * time.Millisecond
	if r.Unreadable == "" && r.LatencyObjective > timeout {
		w.add(entry, "latency_objective", "%s is over the timeout of %s", r.LatencyObjective, timeout)
	}
}

// addAccount adds the warnings about an account.
func (w *warnings) addAccount(a mesh.Account) {
	entry := "account " + string(a.Name)
	if len(a.Keys) == 0 {
		w.add(entry, "keys", "without a key, no request can use the account")
	}
	if a.HasQuota() && a.Burst < a.RatePerSecond {
		w.add(entry, "burst", "%s is under the rate of %s a second", number(a.Burst), number(a.RatePerSecond))
	}
	if !a.HasQuota() && a.Burst > 0 {
		w.add(entry, "burst", "has no effect without a rate")
	}
}

// Difference is a field of an entry that differs between two versions. An entry
// that one of them lacks is one difference without a field.
type Difference struct {
	Entry  string `json:"entry"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// entryFields has the values of an entry by field.
type entryFields map[string]string

// Differences returns what differs from one version to another, by routes, services,
// accounts and limits, each sorted by name.
func Differences(from, to mesh.ApprovedConfig) (found []Difference) {
	for _, list := range []func(mesh.ApprovedConfig) map[string]entryFields{routes, services, accounts, limits} {
		before, after := list(from), list(to)
		all := maps.Clone(before)
		maps.Copy(all, after)
		for _, entry := range slices.Sorted(maps.Keys(all)) {
			found = append(found, compare(entry, before[entry], after[entry])...)
		}
	}
	return found
}

func compare(entry string, before, after entryFields) (found []Difference) {
	switch {
	case before == nil:
		return []Difference{{Entry: entry, Before: "absent", After: "present"}}
	case after == nil:
		return []Difference{{Entry: entry, Before: "present", After: "absent"}}
	}
	for _, field := range slices.Sorted(maps.Keys(after)) {
		if before[field] != after[field] {
			found = append(found, Difference{entry, field, before[field], after[field]})
		}
	}
	return found
}

func routes(a mesh.ApprovedConfig) map[string]entryFields {
	entries := make(map[string]entryFields)
	for _, r := range a.Routes {
		shares := make([]string, 0, len(r.Split))
		for _, share := range r.Split {
			shares = append(shares, string(share.Service)+"="+strconv.Itoa(share.Weight))
		}
		entries["route "+r.ID] = entryFields{
			"host_name": r.HostName, "path_prefix": r.PathPrefix, "class": string(r.Class), "service": string(r.Service),
			"split": strings.Join(shares, " "), "deadline": (time.Duration(r.DeadlineMillis) * time.Millisecond).String(),
			"latency_objective": r.LatencyObjective.String(), "priority": strconv.Itoa(r.Priority),
			"max_backend_attempts": strconv.Itoa(r.MaxBackendAttempts), "public": strconv.FormatBool(r.Public),
			"unreadable": r.Unreadable,
		}
	}
	return entries
}

func services(a mesh.ApprovedConfig) map[string]entryFields {
	entries := make(map[string]entryFields)
	for name, connections := range a.MaxConnections {
		entries["service "+string(name)] = entryFields{
			"max_connections": strconv.Itoa(connections), "health_path": a.HealthPaths[name],
		}
	}
	return entries
}

func accounts(a mesh.ApprovedConfig) map[string]entryFields {
	entries := make(map[string]entryFields)
	for _, account := range a.Accounts {
		keys := make([]string, 0, len(account.Keys))
		for _, key := range account.Keys {
			keys = append(keys, maskedKey(key))
		}
		slices.Sort(keys)
		entries["account "+string(account.Name)] = entryFields{
			"keys": strings.Join(keys, " "), "priority": strconv.Itoa(account.Priority),
			"rate_per_second": number(account.RatePerSecond), "burst": number(account.Burst),
		}
	}
	return entries
}

func limits(a mesh.ApprovedConfig) map[string]entryFields {
	return map[string]entryFields{"limits": {
		"max_header_bytes": strconv.FormatInt(a.Limits.MaxHeaderBytes, 10), "max_body_bytes": strconv.FormatInt(a.Limits.MaxBodyBytes, 10),
		"header_timeout": a.Limits.HeaderTimeout.String(), "idle_timeout": a.Limits.IdleTimeout.String(),
	}}
}

// maskedKeyBytes is the part of a key's hash that is shown: enough to tell the keys
// of a configuration apart, and not enough to find a key.
const maskedKeyBytes = 4

// maskedKey returns the start of a key's hash.
func maskedKey(key mesh.KeyHash) string { return "sha256:" + hex.EncodeToString(key[:maskedKeyBytes]) }

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
