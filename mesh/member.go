package mesh

// MemberState is what a node believes of another one.
type MemberState uint8

// The states of a member.
const (
	// Alive: it answers.
	Alive MemberState = iota + 1
	// Suspect: it has not answered and has not yet contradicted that.
	Suspect
	// Leaving: it drains; it gets no new work.
	Leaving
	// Dead: declared gone.
	Dead
	// Unreachable: its zone does not answer this node's zone. Nothing is known
	// of the member itself, so it gets no work until the zone answers again.
	Unreachable
)

// String returns the state's name.
func (s MemberState) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case Unreachable:
		return "unreachable"
	default:
		return "unknown"
	}
}

// Incarnation orders the lives of one host name: the instant its node started,
// in nanoseconds since 1970, raised by the node itself to contradict a
// suspicion. The higher one is the newer.
type Incarnation uint64

// Member is a node and its backend server, as they announce themselves.
type Member struct {
	Host        HostID      `json:"host"`
	Zone        Zone        `json:"zone"`
	Region      Region      `json:"region,omitempty"`
	Service     ServiceName `json:"service"`
	Incarnation Incarnation `json:"incarnation"`
	// Life is the first incarnation of the process. A replaced host has the
	// same name and another life.
	Life  Incarnation `json:"life,omitempty"`
	State MemberState `json:"state"`
	// PeerAddress is the IP and TCP port that the node's peers call.
	PeerAddress string `json:"peer_address"`
	// ProbeAddress is the IP and UDP port of the failure detector.
	ProbeAddress string `json:"probe_address,omitempty"`
}

// Load is what a node reports of its backend server, on each answer.
type Load struct {
	// Slots is the present limit of requests at once.
	Slots int
	// Busy is the number of slots in use.
	Busy int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Failing is how many in 100 of the latest requests the backend server
	// failed or shed.
	Failing int
}
