package mesh

import "time"

// Share is one part of a route's traffic.
type Share struct {
	Service ServiceName
	// Weight is the part's share, relative to the other parts of the route.
	Weight int
}

// Route is how the requests for a host name and path prefix are treated. It
// extends a rule by what only approved configuration from outside can say; a
// rule of the register makes a plain route (RouteOf).
type Route struct {
	Rule
	// Split has the services that share the requests; empty sends all of them
	// to Rule.Service.
	Split []Share
	// Objective is the time within which an answer is worth most to the
	// caller; zero when nobody said.
	Objective time.Duration
	// Priority is the rank among requests that compete for a slot: 0 goes
	// first.
	Priority int
	// MaxBackends is the number of backend servers that one request may reach;
	// zero leaves the bound to Rule.Retries.
	MaxBackends int
}

// RouteOf returns the route that a rule makes.
func RouteOf(r Rule) Route { return Route{Rule: r} }

// CallerLimits bounds what a caller may send. Zero fields leave the node's own
// bounds in place.
type CallerLimits struct {
	// HeaderBytes and BodyBytes bound the head and the body of a request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time that a request's head takes to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may rest between two requests.
	IdleTimeout time.Duration
}

// Approved is a configuration that was approved before it reached the node. It
// is immutable.
type Approved struct {
	Version Version
	Routes  []Route
	// Connections bounds the connections to a backend server of a service.
	Connections map[ServiceName]int
	Limits      CallerLimits
}
