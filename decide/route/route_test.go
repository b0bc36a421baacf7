package route_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func rule(id, hostName, prefix string) mesh.Rule {
	return mesh.Rule{ID: id, HostName: hostName, PathPrefix: prefix, Service: "desk",
		Class: mesh.Lookup, DeadlineMillis: 1000}
}

func config(rules ...mesh.Rule) mesh.Config {
	c := mesh.Config{
		Services: map[mesh.ServiceName]mesh.Service{"desk": {Name: "desk", Customer: "menders"}},
		Hosts:    map[mesh.HostID]mesh.Host{"fes-1": {ID: "fes-1", Zone: "fes", Service: "desk"}},
		Rules:    map[string]mesh.Rule{},
	}
	for _, r := range rules {
		c.Rules[r.ID] = r
	}
	return c
}

// Operators correct a configuration in one pass only if every fault is reported,
// also those of entries that only conflict with one another.
func TestCheckListsEveryFault(t *testing.T) {
	c := config(
		rule("case", "Desk.example", "/a"), rule("dot", "desk.example.", "/a/"),
		rule("dots", "desk.example", "/b/../a"), rule("double", "desk.example", "//a"),
		rule("encoded", "desk.example", "/%61"), rule("relative", "desk.example", "a"),
	)
	bad := rule("bad", "", "/")
	bad.Service, bad.Class, bad.DeadlineMillis, bad.Retries, bad.Hedge = "gone", "fast", 3_600_001, 6, true
	c.Rules["other key"] = bad
	c.Services["quote"] = mesh.Service{Name: "quote"}
	c.Rules["quote"] = mesh.Rule{ID: "quote", HostName: "q.example", PathPrefix: "/", Service: "quote",
		Class: mesh.Upload, DeadlineMillis: 1}
	c.Hosts["fes-2"] = mesh.Host{ID: "fes-2", Zone: "fès", Service: "gone"}
	var texts []string
	for _, fault := range route.Check(c) {
		texts = append(texts, fault.Location+": "+fault.Message)
	}
	must.Eq(t, []string{
		`service quote: has no customer`,
		`host fes-2: availability zone "fès" has other than letters, digits, dots, hyphens and underscores`,
		`host fes-2: names no existing service: "gone"`,
		`rule dots: path prefix "/b/../a" is not in normal form: write "/a"`,
		`rule double: path prefix "//a" is not in normal form: write "/a"`,
		`rule encoded: path prefix "/%61" has a character that no path has unescaped`,
		`rule bad: stands under the name "other key"`,
		`rule bad: names no host name`,
		`rule bad: names no existing service: "gone"`,
		`rule bad: unknown class: "fast"`,
		`rule bad: deadline_ms 3600001 not in 1 to 3600000`,
		`rule bad: retries 6 not in 0 to 5`,
		`rule bad: only lookups may be hedged`,
		`rule relative: path prefix does not begin with /`,
		`rule dot: matches the same requests as rule case`,
		`rule dots: matches the same requests as rule case`,
		`rule double: matches the same requests as rule case`,
		`rule relative: matches the same requests as rule case`,
		`service quote: has rules but no host in the inventory`,
	}, texts)
}

// A prefix must not match a part of a segment (/book must not match /booking), and
// a path such as /status/../book must match the rule of the path it resolves to.
func TestMatchUsesLongestPrefixOfWholeSegments(t *testing.T) {
	table, faults := route.Compile(3, config(
		rule("root", "desk.example", "/"), rule("book", "desk.example", "/book/"), rule("cup", "Desk.Example", "/book/cup")))
	must.SliceEmpty(t, faults)
	for path, want := range map[string]string{
		"/": "root", "": "root", "/booking": "root", "/book": "book", "/book/": "book", "/book/7": "book",
		"/book/cup": "cup", "/book//cup/1": "cup", "/book/cupboard": "book", "/status/../book": "book",
		"/book/%63up": "cup", "/book%2Fcup": "root", "/book/x%2f..%2fcup": "book", "/status/%2e%2e/book": "book",
	} {
		found, ok := table.Match("DESK.example.:8080", path)
		must.True(t, ok)
		must.Eq(t, want, found.ID, must.Sprint(path))
	}
	_, ok := table.Match("other.example", "/")
	must.False(t, ok)
}
