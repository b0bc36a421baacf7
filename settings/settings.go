// Package settings reads and checks the settings file of a node: one JSON
// object. Unknown keys are refused, and every fault is reported at once with
// its key.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Settings is the whole file.
type Settings struct {
	// Host is the node's name in the asset register, at most 64 bytes, as are
	// the names of zone, region and service. Required.
	Host mesh.HostID `json:"host"`
	// Zone is the node's availability zone. Required.
	Zone mesh.Zone `json:"zone"`
	// Region is the region of the zone; it may be left out when there is one.
	Region   mesh.Region  `json:"region"`
	Listen   Listen       `json:"listen"`
	Peers    Peers        `json:"peers"`
	Backend  Backend      `json:"backend"`
	Platform Platform     `json:"platform"`
	Traffic  Traffic      `json:"traffic"`
	Logins   []Credential `json:"credentials"`
	// Workers is the number of workers of the controllers' pool, 1 to 256.
	// Default 4.
	Workers int `json:"workers"`
	// IOWorkers is the number of workers that send what outboxes hold, 8 to
	// 256. Default 16.
	IOWorkers int `json:"io_workers"`
}

// Listen has the addresses that the node listens on, as IP:port.
type Listen struct {
	// Callers is for callers' requests. Required.
	Callers string `json:"callers"`
	// Peers is for other nodes; it must be reachable from them. Required.
	Peers string `json:"peers"`
	// PeersAdvertised is where other nodes reach Peers, where something that
	// forwards connections stands between. Default the address of Peers.
	PeersAdvertised string `json:"peers_advertised,omitempty"`
	// Operators is for operators and customers. Required.
	Operators string `json:"operators"`
	// Probes is for the datagrams (UDP) of membership; it must be reachable
	// from other nodes. Default the address and port of Peers.
	Probes string `json:"probes,omitempty"`
	// Readiness is where the platform asks whether the node may get callers,
	// Reports where the own backend server reports itself. Required with
	// platform.kind "store", not allowed otherwise.
	Readiness string `json:"readiness,omitempty"`
	Reports   string `json:"reports,omitempty"`
}

// Peers says how nodes find and trust each other.
type Peers struct {
	// Seeds are the probe addresses, as IP:port, of nodes to join through when
	// the platform is down at the start, at most 64. Default none.
	Seeds []string `json:"seeds,omitempty"`
	// Secret authenticates datagrams between nodes: all nodes have the same, at
	// least 16 characters. It is never logged. Default none: then any host that
	// reaches the port can speak as a node.
	Secret string `json:"secret,omitempty"`
}

// Backend describes the host's backend server.
type Backend struct {
	// Service is the service that it runs. Required.
	Service mesh.ServiceName `json:"service"`
	// Address is its IP:port. Required.
	Address string `json:"address"`
	// Slots is the number of requests it runs at once, 1 to 4096. Required.
	Slots int `json:"slots"`
	// Connections bounds the connections to it, 1 to 65535. Default 130.
	Connections int `json:"connections"`
	// NotRunHeader is the name of a header by which its own answers 429 and
	// 503 promise that the request was not run. Default none: such an answer
	// is passed on and never retried.
	NotRunHeader string `json:"not_run_header,omitempty"`
	// Queue is the number of requests that may wait for a slot, 0 to 65535.
	// Default twice the slots.
	Queue *int `json:"queue"`
}

// Traffic bounds callers' requests.
type Traffic struct {
	// BodyIdleMillis is the longest pause between the bytes of a body, in
	// milliseconds, 100 to 600,000. Longer ones hold connections of senders
	// that are gone. Default 30,000.
	BodyIdleMillis int `json:"body_idle_ms"`
	// StopLimitMillis is how long a planned stop waits for what is under way
	// before it tells the operator, in milliseconds, 1,000 to 86,400,000.
	// Default 600,000.
	StopLimitMillis int `json:"stop_limit_ms"`
	// RetryRatio is the part of the requests for a service that all nodes
	// together may send to a second backend server, 0 to 1, and RetryExtra the
	// number that they may send beyond it, which may be a fraction. Both zero:
	// each node goes by a budget of its own.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	RetryExtra float64 `json:"retry_extra,omitempty"`
	// StopWithin is how long after the signal to stop the process is killed;
	// zero for never.
	StopWithin Duration `json:"stop_within,omitzero"`
}

// BodyIdle is the longest pause between the bytes of a body.
func (t Traffic) BodyIdle() time.Duration { return time.Duration(t.BodyIdleMillis) * time.Millisecond }

// StopLimit is when the operator is told of a planned stop that still waits.
func (t Traffic) StopLimit() time.Duration {
	return time.Duration(t.StopLimitMillis) * time.Millisecond
}

// Credential is the login of an operator or a customer. All nodes should have
// the same ones.
type Credential struct {
	// Name is written into the log with each record. Required, and unique.
	Name string `json:"name"`
	// Role is "operator" or "customer".
	Role change.Role `json:"role"`
	// Customer is the customer that a customer's login speaks for; required
	// there, and not allowed for an operator.
	Customer mesh.Customer `json:"customer"`
	// Token is the secret, at least 16 characters, and unique. It is never
	// logged.
	Token string `json:"token"`
}

// Fault is one thing wrong with the settings.
type Fault struct {
	// Key is the path of the setting, such as "backend.slots".
	Key  string
	What string
}

// Faults is every fault, in the order of the file's keys.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Key + ": " + fault.What
	}
	return strings.Join(lines, "\n")
}

// Defaults and bounds.
const (
	defaultWorkers     = 4
	defaultIOWorkers   = 16
	defaultConnections = 130
	defaultBodyIdle    = 30_000
	defaultStopLimit   = 600_000
	minBodyIdle        = 100
	maxBodyIdle        = 600_000
	minStopLimit       = 1_000
	maxStopLimit       = 86_400_000
	maxStopWithin      = 24 * time.Hour
	minTokenLength     = 16
	// maxNameLength keeps the news of a member within a datagram.
	maxNameLength = 64
	maxSeeds      = 64
	maxWorkers    = 256
	minIOWorkers  = 8
	maxSlots      = 4096
	maxCount      = 65535
)

// Load reads and checks a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	return Parse(data)
}

// Parse reads and checks the bytes of a file, and fills in the defaults. The
// error is Faults, or says where the JSON is malformed.
func Parse(data []byte) (Settings, error) {
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, eris.Wrap(err, "settings")
	}
	s.fillDefaults()
	if faults := s.check(); len(faults) > 0 {
		return s, faults
	}
	return s, nil
}

// SameStart reports whether a running node with these settings needs no restart
// to have the others: they differ in nothing but Traffic.
func (s Settings) SameStart(other Settings) bool {
	s.Traffic, other.Traffic = Traffic{}, Traffic{}
	return reflect.DeepEqual(s, other)
}

func (s *Settings) fillDefaults() {
	if s.Workers == 0 {
		s.Workers = defaultWorkers
	}
	if s.IOWorkers == 0 {
		s.IOWorkers = defaultIOWorkers
	}
	if s.Listen.Probes == "" {
		s.Listen.Probes = s.Listen.Peers
	}
	if s.Platform.Kind == "" {
		s.Platform.Kind = LogPlatform
	}
	if s.Backend.Connections == 0 {
		s.Backend.Connections = defaultConnections
	}
	if s.Traffic.BodyIdleMillis == 0 {
		s.Traffic.BodyIdleMillis = defaultBodyIdle
	}
	if s.Traffic.StopLimitMillis == 0 {
		s.Traffic.StopLimitMillis = defaultStopLimit
	}
	if s.Backend.Queue == nil {
		queue := 2 * s.Backend.Slots
		s.Backend.Queue = &queue
	}
}

func (s Settings) check() Faults {
	var c checker
	c.text("host", string(s.Host))
	c.text("zone", string(s.Zone))
	c.short("host", string(s.Host))
	c.short("zone", string(s.Zone))
	c.short("region", string(s.Region))
	c.short("backend.service", string(s.Backend.Service))
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	if s.Listen.PeersAdvertised != "" {
		c.address("listen.peers_advertised", s.Listen.PeersAdvertised)
	}
	c.address("listen.probes", s.Listen.Probes)
	c.peers(s.Peers)
	c.text("backend.service", string(s.Backend.Service))
	c.address("backend.address", s.Backend.Address)
	c.platform(s)
	c.between("backend.connections", s.Backend.Connections, 1, maxCount)
	c.between("backend.queue", *s.Backend.Queue, 0, maxCount)
	c.url("platform.url", s.Platform.URL)
	c.between("traffic.body_idle_ms", s.Traffic.BodyIdleMillis, minBodyIdle, maxBodyIdle)
	c.between("traffic.stop_limit_ms", s.Traffic.StopLimitMillis, minStopLimit, maxStopLimit)
	if s.Traffic.RetryRatio < 0 || s.Traffic.RetryRatio > 1 {
		c.add("traffic.retry_ratio", "must be 0 to 1")
	}
	if s.Traffic.RetryExtra < 0 || s.Traffic.RetryExtra > maxCount {
		c.add("traffic.retry_extra", "must be 0 to "+strconv.Itoa(maxCount))
	}
	if within := time.Duration(s.Traffic.StopWithin); within < 0 || within > maxStopWithin {
		c.add("traffic.stop_within", "must be 0s to "+maxStopWithin.String())
	}
	for i, login := range s.Logins {
		c.credential("credentials["+strconv.Itoa(i)+"]", login)
	}
	c.sharedCredentials(s.Logins)
	c.between("workers", s.Workers, 1, maxWorkers)
	c.between("io_workers", s.IOWorkers, minIOWorkers, maxWorkers)
	return c.faults
}

// checker collects faults.
type checker struct {
	faults Faults
}

func (c *checker) add(key, what string) { c.faults = append(c.faults, Fault{key, what}) }

func (c *checker) text(key, value string) {
	if value == "" {
		c.add(key, "is required")
	}
}

func (c *checker) short(key, value string) {
	if len(value) > maxNameLength {
		c.add(key, "must have at most "+strconv.Itoa(maxNameLength)+" bytes")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "must be IP:port")
	}
}

func (c *checker) between(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, "must be "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

func (c *checker) peers(p Peers) {
	if len(p.Seeds) > maxSeeds {
		c.add("peers.seeds", "must have at most "+strconv.Itoa(maxSeeds)+" entries")
	}
	for i, seed := range p.Seeds {
		c.address("peers.seeds["+strconv.Itoa(i)+"]", seed)
	}
	if p.Secret != "" && len(p.Secret) < minTokenLength {
		c.add("peers.secret", "must have at least "+strconv.Itoa(minTokenLength)+" characters")
	}
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(key, "must be an http or https URL")
	}
}

func (c *checker) credential(key string, login Credential) {
	c.text(key+".name", login.Name)
	switch login.Role {
	case change.Operator:
		if login.Customer != "" {
			c.add(key+".customer", "an operator speaks for no customer")
		}
	case change.CustomerRole:
		c.text(key+".customer", string(login.Customer))
	default:
		c.add(key+".role", `must be "operator" or "customer"`)
	}
	if len(login.Token) < minTokenLength {
		c.add(key+".token", "must have at least "+strconv.Itoa(minTokenLength)+" characters")
	}
}

// sharedCredentials finds logins that cannot be told apart. No fault shows a
// token.
func (c *checker) sharedCredentials(logins []Credential) {
	for i, login := range logins {
		for j, earlier := range logins[:i] {
			key := "credentials[" + strconv.Itoa(i) + "]"
			if login.Name == earlier.Name {
				c.add(key+".name", "is that of credentials["+strconv.Itoa(j)+"]")
			}
			if login.Token == earlier.Token {
				c.add(key+".token", "is that of credentials["+strconv.Itoa(j)+"]")
			}
		}
	}
}
