// Package settings reads and validates the settings file of a node: one JSON
// object. Unknown keys are rejected. Validation reports all invalid settings at
// once, each with its key.
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

// Settings holds the contents of the settings file. The names of host, zone,
// region and service have at most 64 bytes each.
type Settings struct {
	// Host is the node's name in the asset register. Required.
	Host mesh.HostID `json:"host"`
	// Zone is the node's availability zone. Required.
	Zone mesh.Zone `json:"zone"`
	// Region is the region of the zone. Optional if there is only one region.
	Region mesh.Region `json:"region"`
	// Zones are all availability zones of the deployment, if they are known. The
	// quota of a client account is divided by them. Default those of known nodes.
	Zones       []mesh.Zone  `json:"zones,omitempty"`
	Listen      Listen       `json:"listen"`
	Peers       Peers        `json:"peers"`
	Backend     Backend      `json:"backend"`
	Platform    Platform     `json:"platform"`
	Traffic     Traffic      `json:"traffic"`
	Clients     Clients      `json:"clients,omitzero"`
	Credentials []Credential `json:"credentials"`
	// Workers is the number of workers in the controller pool, 1 to 256.
	// Default 4.
	Workers int `json:"workers"`
	// IOWorkers is the number of workers that process the outbox tables, 8 to
	// 256. Default 16.
	IOWorkers int `json:"io_workers"`
	// MemoryLimitBytes is the memory from which the garbage collector runs more
	// often, at least 16 MiB. Default 64 MiB.
	MemoryLimitBytes int `json:"memory_limit_bytes,omitempty"`
}

// Listen holds the addresses that the node listens on, as IP:port.
type Listen struct {
	// Callers is the address for callers' requests. Required.
	Callers string `json:"callers"`
	// Peers is the address for requests from other nodes, which must be able to
	// reach it. Required.
	Peers string `json:"peers"`
	// PeersAdvertised is the address at which other nodes reach Peers, if
	// connections are forwarded. Default the address of Peers.
	PeersAdvertised string `json:"peers_advertised,omitempty"`
	// Operators is the address of the API for operators and customers. Required.
	Operators string `json:"operators"`
	// Probes is the UDP address for membership datagrams; other nodes must be
	// able to reach it. Default the address and port of Peers.
	Probes string `json:"probes,omitempty"`
	// Readiness is the address at which the platform queries the node's
	// readiness. Reports is the address to which the node's own backend server
	// sends its reports. Both are required with platform.kind "store" and
	// rejected otherwise.
	Readiness string `json:"readiness,omitempty"`
	Reports   string `json:"reports,omitempty"`
}

// Peers configures how nodes find and authenticate each other.
type Peers struct {
	// Seeds are the probe addresses, as IP:port, of the nodes to join through
	// when the platform is unavailable at startup, at most 64. Default none.
	Seeds []string `json:"seeds,omitempty"`
	// Secret authenticates datagrams between nodes. All nodes use the same
	// secret, of at least 16 bytes. It is never logged. Default none: any host
	// that reaches the port can then impersonate a node.
	Secret string `json:"secret,omitempty"`
}

// Backend describes the host's backend server.
type Backend struct {
	// Service is the service that the backend server runs. Required.
	Service mesh.ServiceName `json:"service"`
	// Address is the backend server's IP:port. Required.
	Address string `json:"address"`
	// Slots is the number of requests that the backend server runs concurrently,
	// 1 to 4096. Required with platform.kind "log" and rejected with "store",
	// where the backend server reports it.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the backend server, 1
	// to 65535. Default 130.
	Connections int `json:"connections"`
	// NotRunHeader is the name of a header by which the backend server
	// guarantees that it did not run a request that it answers with 429 or 503.
	// Default none: such a response is passed on and never retried.
	NotRunHeader string `json:"not_run_header,omitempty"`
	// Queue is the maximum number of requests that wait for a slot, 0 to 65535.
	// Default twice the slots.
	Queue *int `json:"queue"`
}

// Traffic holds the limits on callers' requests. It can be reloaded while the
// node runs; see EqualExceptTraffic.
type Traffic struct {
	// BodyIdleMillis is the longest time between the bytes of a body, in
	// milliseconds, 100 to 600,000. A longer limit keeps connections of senders
	// that have disappeared open. Default 30,000.
	BodyIdleMillis int `json:"body_idle_ms"`
	// StopLimitMillis is how long a planned stop waits for work in progress
	// before the node logs it as a warning, in milliseconds, 1,000 to
	// 86,400,000. Default 600,000.
	StopLimitMillis int `json:"stop_limit_ms"`
	// RetryRatio is the fraction of the requests for a service that all nodes
	// together can send to a second backend server, 0 to 1. RetryExtra is the
	// number of requests on top of that fraction, 0 to 65535; it can be
	// fractional. If both are zero, each node uses a retry budget of its own.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	RetryExtra float64 `json:"retry_extra,omitempty"`
	// StopWithin is the time from the stop signal to the kill of the process, at
	// most 24 hours; zero if the process is not killed.
	StopWithin Duration `json:"stop_within,omitzero"`
	// LearnedLimits enables learning how many concurrent requests the node's own
	// backend server sustains and how fast it is. Callers' nodes weight the
	// backend servers by the speeds that their nodes report. Default false.
	LearnedLimits bool `json:"learned_limits,omitempty"`
}

// BodyIdle returns the longest time between the bytes of a body.
func (t Traffic) BodyIdle() time.Duration { return time.Duration(t.BodyIdleMillis) * time.Millisecond }

// StopLimit returns how long a planned stop waits before the node logs it as a
// warning.
func (t Traffic) StopLimit() time.Duration {
	return time.Duration(t.StopLimitMillis) * time.Millisecond
}

// Credential is the name, role and bearer token of an operator or a customer.
// All nodes should have the same credentials.
type Credential struct {
	// Name is written into the change log with each record. Required, and
	// unique.
	Name string `json:"name"`
	// Role is "operator" or "customer".
	Role change.Role `json:"role"`
	// Customer is the customer that the credential acts for. Required for the role
	// "customer" and rejected for "operator".
	Customer mesh.Customer `json:"customer"`
	// Token is the bearer token, of at least 16 bytes. It is unique and never
	// logged.
	Token string `json:"token"`
}

// FieldError describes one invalid setting.
type FieldError struct {
	// Key is the path of the setting, such as "backend.slots".
	Key     string
	Message string
}

// FieldErrors lists all invalid settings in the order in which they are checked.
type FieldErrors []FieldError

// Error returns one line for each invalid setting.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, e := range f {
		lines[i] = e.Key + ": " + e.Message
	}
	return strings.Join(lines, "\n")
}

// Defaults and limits.
const (
	defaultWorkers   = 4
	defaultIOWorkers = 16
	// defaultMemoryLimitBytes leaves the smallest host, 112 MB, room for what the
	// collector does not count. Without it a burst of garbage doubled the peak.
	defaultMemoryLimitBytes = 64 << 20
	defaultConnections      = 130
	defaultBodyIdleMillis   = 30_000
	defaultStopLimitMillis  = 600_000
	minBodyIdleMillis       = 100
	maxBodyIdleMillis       = 600_000
	minStopLimitMillis      = 1_000
	maxStopLimitMillis      = 86_400_000
	maxStopWithin           = 24 * time.Hour
	minSecretBytes          = 16
	// maxNameBytes keeps the record of a member within a datagram.
	maxNameBytes = 64
	maxSeeds     = 64
	maxWorkers   = 256
	minIOWorkers = 8
	// minMemoryLimitBytes is twice what a node at rest needs.
	minMemoryLimitBytes = 16 << 20
	maxMemoryLimitBytes = 1 << 40
	maxSlots            = 4096
	// maxCount limits backend.connections, backend.queue and
	// traffic.retry_extra.
	maxCount = 65535
)

// Load reads and validates the file at path; see Parse.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings: read file")
	}
	return Parse(data)
}

// Parse decodes and validates settings, and sets the defaults. The error is
// FieldErrors for invalid values; otherwise it describes the malformed JSON.
func Parse(data []byte) (Settings, error) {
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, eris.Wrap(err, "settings: decode JSON")
	}
	s.fillDefaults()
	if errs := s.check(); len(errs) > 0 {
		return s, errs
	}
	return s, nil
}

// EqualExceptTraffic reports whether s and other are equal except for Traffic. A
// running node applies changes of Traffic without a restart.
func (s Settings) EqualExceptTraffic(other Settings) bool {
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
	if s.MemoryLimitBytes == 0 {
		s.MemoryLimitBytes = defaultMemoryLimitBytes
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
		s.Traffic.BodyIdleMillis = defaultBodyIdleMillis
	}
	if s.Traffic.StopLimitMillis == 0 {
		s.Traffic.StopLimitMillis = defaultStopLimitMillis
	}
	s.Clients = s.Clients.WithDefaults()
	if s.Backend.Queue == nil {
		queue := 2 * s.Backend.Slots
		s.Backend.Queue = &queue
	}
}

func (s Settings) check() FieldErrors {
	var c checker
	c.required("host", string(s.Host))
	c.required("zone", string(s.Zone))
	c.nameLength("host", string(s.Host))
	c.nameLength("zone", string(s.Zone))
	c.nameLength("region", string(s.Region))
	c.nameLength("backend.service", string(s.Backend.Service))
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	if s.Listen.PeersAdvertised != "" {
		c.address("listen.peers_advertised", s.Listen.PeersAdvertised)
	}
	c.address("listen.probes", s.Listen.Probes)
	c.peers(s.Peers)
	c.required("backend.service", string(s.Backend.Service))
	c.address("backend.address", s.Backend.Address)
	c.platform(s)
	c.between("backend.connections", s.Backend.Connections, 1, maxCount)
	c.between("backend.queue", *s.Backend.Queue, 0, maxCount)
	c.url("platform.url", s.Platform.URL)
	c.between("traffic.body_idle_ms", s.Traffic.BodyIdleMillis, minBodyIdleMillis, maxBodyIdleMillis)
	c.between("traffic.stop_limit_ms", s.Traffic.StopLimitMillis, minStopLimitMillis, maxStopLimitMillis)
	if s.Traffic.RetryRatio < 0 || s.Traffic.RetryRatio > 1 {
		c.add("traffic.retry_ratio", "must be 0 to 1")
	}
	if s.Traffic.RetryExtra < 0 || s.Traffic.RetryExtra > maxCount {
		c.add("traffic.retry_extra", "must be 0 to "+strconv.Itoa(maxCount))
	}
	if within := time.Duration(s.Traffic.StopWithin); within < 0 || within > maxStopWithin {
		c.add("traffic.stop_within", "must be 0s to "+maxStopWithin.String())
	}
	c.clients(s.Clients)
	for i, credential := range s.Credentials {
		c.credential("credentials["+strconv.Itoa(i)+"]", credential)
	}
	c.uniqueCredentials(s.Credentials)
	c.between("workers", s.Workers, 1, maxWorkers)
	c.between("io_workers", s.IOWorkers, minIOWorkers, maxWorkers)
	c.between("memory_limit_bytes", s.MemoryLimitBytes, minMemoryLimitBytes, maxMemoryLimitBytes)
	return c.errs
}

// checker validates settings and collects the errors.
type checker struct {
	errs FieldErrors
}

func (c *checker) add(key, message string) { c.errs = append(c.errs, FieldError{key, message}) }

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "is required")
	}
}

func (c *checker) nameLength(key, value string) {
	if len(value) > maxNameBytes {
		c.add(key, "must have at most "+strconv.Itoa(maxNameBytes)+" bytes")
	} else if mesh.CheckName(value, maxNameBytes) != nil {
		c.add(key, "must be UTF-8 without control characters") // other nodes ignore such a node
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
	if p.Secret != "" && len(p.Secret) < minSecretBytes {
		c.add("peers.secret", "must have at least "+strconv.Itoa(minSecretBytes)+" bytes")
	}
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(key, "must be an http or https URL")
	}
}

func (c *checker) credential(key string, credential Credential) {
	c.required(key+".name", credential.Name)
	switch credential.Role {
	case change.Operator:
		if credential.Customer != "" {
			c.add(key+".customer", `must be empty for role "operator"`)
		}
	case change.CustomerRole:
		c.required(key+".customer", string(credential.Customer))
	default:
		c.add(key+".role", `must be "operator" or "customer"`)
	}
	if len(credential.Token) < minSecretBytes {
		c.add(key+".token", "must have at least "+strconv.Itoa(minSecretBytes)+" bytes")
	}
}

// uniqueCredentials reports names and tokens that occur more than once. The
// errors do not contain the tokens.
func (c *checker) uniqueCredentials(credentials []Credential) {
	for i, credential := range credentials {
		for j, earlier := range credentials[:i] {
			key := "credentials[" + strconv.Itoa(i) + "]"
			if credential.Name == earlier.Name {
				c.add(key+".name", "must differ from that of credentials["+strconv.Itoa(j)+"]")
			}
			if credential.Token == earlier.Token {
				c.add(key+".token", "must differ from that of credentials["+strconv.Itoa(j)+"]")
			}
		}
	}
}
