package mesh

import "time"

// WeightedService is one service of a traffic split and its weight.
type WeightedService struct {
	Service ServiceName
	// Weight is relative to the weights of the other services in the split.
	Weight int
}

// Route defines how requests for a host name and path prefix are handled. It
// extends a rule with settings that only approved configuration from outside
// (ApprovedConfig) has; RouteOf makes a route without them from a rule of the
// register.
type Route struct {
	Rule
	// Split has the services that share the requests; if it is empty, all
	// requests go to Rule.Service.
	Split []WeightedService
	// LatencyObjective is the response time up to which a response is most
	// useful to the caller; zero if none is set.
	LatencyObjective time.Duration
	// Priority orders requests that compete for a slot; 0 goes first.
	Priority int
	// MaxBackendAttempts bounds the attempts of one request that can reach a
	// backend server. If it is zero, Rule.Retries is the only bound.
	MaxBackendAttempts int
	// Unreadable is why the rest of the route could not be read; empty for a
	// route in order. Requests that match an unreadable route are refused:
	// without it, they would match a shorter prefix and run elsewhere.
	Unreadable string
	// Public routes need no account key.
	Public bool
}

// RouteOf returns the route of a rule, without the extended settings.
func RouteOf(r Rule) Route { return Route{Rule: r} }

// CallerLimits bounds what a caller can send. A zero field leaves the node's
// own limit in place.
type CallerLimits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the head and the body of a request.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout bounds the time that a request's head takes to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection can be idle between two requests.
	IdleTimeout time.Duration
}

// ApprovedConfig is a configuration that was approved before the node received
// it. It is immutable.
type ApprovedConfig struct {
	Version Version
	Routes  []Route
	// MaxConnections is the maximum number of connections to a backend server, by
	// service.
	MaxConnections map[ServiceName]int
	// HealthPaths holds the path of the health check of a service's backend
	// servers.
	HealthPaths map[ServiceName]string
	// Accounts has the client accounts. If there are any, a request needs the key
	// of one, unless its route is public.
	Accounts []Account
	Limits   CallerLimits
	// Warnings lists the entries that were read only in part, for logs.
	Warnings []ConfigWarning
}

// ConfigWarning describes an entry of approved configuration that was read only
// in part.
type ConfigWarning struct {
	// Entry is the kind and the name of the entry.
	Entry string
	// Problem is what could not be read, and how the entry is handled.
	Problem string
}
