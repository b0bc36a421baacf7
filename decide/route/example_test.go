package route_test

import (
	"fmt"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// A configuration is compiled as a whole, or rejected as a whole with every
// fault.
func Example() {
	config := mesh.Config{
		Services: map[mesh.ServiceName]mesh.Service{"desk": {Name: "desk", Customer: "menders"}},
		Hosts:    map[mesh.HostID]mesh.Host{"fes-1": {ID: "fes-1", Zone: "fes", Service: "desk"}},
		Rules: map[string]mesh.Rule{"book": {
			ID: "book", HostName: "desk.example", PathPrefix: "/book", Service: "desk",
			Class: mesh.Booking, DeadlineMillis: 2000,
		}},
	}
	table, faults := route.Compile(7, config)
	rule, found := table.Match("desk.example:8080", "/book/cup-3")
	fmt.Println(len(faults), found, rule.ID, rule.Class)

	config.Rules["bad"] = mesh.Rule{ID: "bad", HostName: "h", PathPrefix: "/", Service: "none", Class: "x"}
	table, faults = route.Compile(8, config)
	fmt.Println(table == nil, len(faults))
	// Output:
	// 0 true book booking
	// true 3
}
