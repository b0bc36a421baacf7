package settings

import "strconv"

// Clients holds the limits on what clients outside the operator's control can
// hold of the node. The defaults suit the smallest host, of 112 MB.
type Clients struct {
	// MemoryBytes limits the memory that all clients hold together, 8 MiB to 16
	// GiB. Five eighths are for callers, two for requests that other nodes forward, and
	// one for reports, readiness and operators. 8 MiB serve heads of 16 KiB. Default 32
	// MiB.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// ConnectionBytes limits the memory that one connection holds, 1 MiB to
	// MemoryBytes. It is enough for a head of 64 KiB of the shortest lines.
	// Default 8 MiB.
	ConnectionBytes int64 `json:"connection_bytes,omitempty"`
	// Connections limits the connections of callers, 1 to 65535. Default 512.
	Connections int `json:"connections,omitempty"`
	// ReportConnections limits the connections to each of the listeners for
	// reports, for readiness and for operators, 1 to 65535. Default 64.
	ReportConnections int `json:"report_connections,omitempty"`
	// PeerConnections limits the connections from other nodes, 1 to 65535. Default
	// 2,048, half of the descriptors of the smallest hosts.
	PeerConnections int `json:"peer_connections,omitempty"`
	// HeaderLines limits the header lines of a request, 100 to 1,000,000. Default
	// 22,000, which a head of 64 KiB cannot exceed.
	HeaderLines int `json:"header_lines,omitempty"`
}

const (
	defaultClientMemoryBytes = 32 << 20
	minClientMemoryBytes     = 8 << 20
	maxClientMemoryBytes     = 16 << 30
	defaultConnectionBytes   = 8 << 20
	minConnectionBytes       = 1 << 20
	defaultCallerConnections = 512
	defaultReportConnections = 64
	defaultPeerConnections   = 2048
	defaultHeaderLines       = 22_000
	minHeaderLines           = 100
	maxHeaderLines           = 1_000_000
)

// WithDefaults returns the limits with the defaults in place of zero.
func (c Clients) WithDefaults() Clients {
	if c.MemoryBytes == 0 {
		c.MemoryBytes = defaultClientMemoryBytes
	}
	if c.ConnectionBytes == 0 {
		c.ConnectionBytes = min(defaultConnectionBytes, c.MemoryBytes)
	}
	if c.Connections == 0 {
		c.Connections = defaultCallerConnections
	}
	if c.ReportConnections == 0 {
		c.ReportConnections = defaultReportConnections
	}
	if c.PeerConnections == 0 {
		c.PeerConnections = defaultPeerConnections
	}
	if c.HeaderLines == 0 {
		c.HeaderLines = defaultHeaderLines
	}
	return c
}

func (c *checker) clients(s Clients) {
	if s.MemoryBytes < minClientMemoryBytes || s.MemoryBytes > maxClientMemoryBytes {
		c.add("clients.memory_bytes", "must be "+strconv.Itoa(minClientMemoryBytes)+" to "+strconv.Itoa(maxClientMemoryBytes))
	}
	if s.ConnectionBytes < minConnectionBytes || s.ConnectionBytes > s.MemoryBytes {
		c.add("clients.connection_bytes", "must be "+strconv.Itoa(minConnectionBytes)+" to clients.memory_bytes")
	}
	c.between("clients.connections", s.Connections, 1, maxCount)
	c.between("clients.report_connections", s.ReportConnections, 1, maxCount)
	c.between("clients.peer_connections", s.PeerConnections, 1, maxCount)
	c.between("clients.header_lines", s.HeaderLines, minHeaderLines, maxHeaderLines)
}
