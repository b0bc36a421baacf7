package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// applyBound is the bound configurationApply of the sample settings.
const applyBound = 2 * time.Second

// runEncodedSlash sends requests with an encoded slash in their path, before and
// after a change of the configuration that adds two routes. An encoded slash is
// data of a path segment and separates none, so the added prefix /read/staff/
// begins none of these paths: both versions allow them at the service shop alone.
//
// The other added prefix has an encoded letter. It begins the paths of the second
// kind of requests, which have to be served.
func runEncodedSlash(f *fleet, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	foreign := 0
	handle := func(b *backend, w http.ResponseWriter, r *http.Request) {
		f.add("backend %s of %s runs %s %s", b.host.name, b.host.service, r.Header.Get(names.ID), r.RequestURI)
		if strings.HasPrefix(r.Header.Get(names.ID), "staff") && b.host.service != "shop" {
			mu.Lock()
			foreign++
			mu.Unlock()
		}
		b.answer(w, b.host.service)
	}
	routes := []standin.Route{standin.RouteTo("shop", "/read/", "idempotent"), standin.RouteTo("studio", "/photo/", "idempotent")}
	if err := f.start(6, handle, routes...); err != nil {
		return false, err
	}
	f.readStaff("before")
	if trouble {
		routes = append(routes, standin.RouteTo("studio", "/read/staff/", "idempotent"), standin.RouteTo("studio", "/caf%C3%A9/", "idempotent"))
		if err := f.store.Publish(2, routes...); err != nil {
			return false, err
		}
		f.add("the store has version 2")
		time.Sleep(applyBound)
		for i := range 30 {
			q := request{method: http.MethodGet, path: "/caf%C3%A9/x", id: fmt.Sprintf("cafe-%d", i), deadline: 5 * time.Second}
			a := f.hosts[i%len(f.hosts)].call(q)
			f.add("caller: %s %s has status %d %s", q.id, q.path, a.status, a.body)
		}
	}
	f.readStaff("after")
	f.result("%d requests ran at a service that no configuration allows them", foreign)
	return foreign > 0, nil
}

// readStaff sends requests for the entry "staff/list" of the route /read/.
func (f *fleet) readStaff(name string) {
	for i := range 30 {
		h := f.hosts[i%len(f.hosts)]
		q := request{method: http.MethodGet, path: "/read/staff%2Flist", id: fmt.Sprintf("staff-%s-%d", name, i), deadline: 5 * time.Second}
		a := h.call(q)
		f.add("caller at %s: %s %s has status %d %s", h.name, q.id, q.path, a.status, a.body)
	}
}
