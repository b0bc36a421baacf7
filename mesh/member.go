package mesh

// MemberState is the state of a member as seen by one node.
type MemberState uint8

// The states of a member.
const (
	// Alive: the member answers probes.
	Alive MemberState = iota + 1
	// Suspect: the member did not answer a probe and has not refuted the
	// suspicion.
	Suspect
	// Leaving: the member is draining; it gets no new work.
	Leaving
	// Dead: the member was declared gone.
	Dead
	// Unreachable: the member's zone does not answer this node's zone. Nothing
	// is known about the member itself; it gets no work until the zone answers.
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

// Incarnation orders the announcements under one host name; the higher one is
// newer. It begins as the start time of the node's process, in nanoseconds
// since 1970. Only the node itself raises it: to refute a suspicion or to
// announce a new state.
type Incarnation uint64

// Member is a node and its backend server, as the node announces them.
type Member struct {
	Host        HostID      `json:"host"`
	Zone        Zone        `json:"zone"`
	Region      Region      `json:"region,omitempty"`
	Service     ServiceName `json:"service"`
	Incarnation Incarnation `json:"incarnation"`
	// StartIncarnation is the first incarnation of the process. It distinguishes a
	// restarted node or a replaced host from its predecessor of the same name.
	StartIncarnation Incarnation `json:"life,omitempty"`
	State            MemberState `json:"state"`
	// PeerAddress is the IP and TCP port of the node's listener for peers.
	PeerAddress string `json:"peer_address"`
	// ProbeAddress is the IP and UDP port of the failure detector.
	ProbeAddress string `json:"probe_address,omitempty"`
}

// Load is the load of a node's backend server. Nodes report it on each
// response to a peer.
type Load struct {
	// Slots is the current limit of concurrent requests.
	Slots int
	// Busy is the number of slots in use.
	Busy int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Failing is the percentage of recent requests that the backend server
	// failed or shed, 0 to 100.
	Failing int
	// Speeds is the number of requests of each class, by class index, that the
	// backend server completes in 1,000 seconds while Slots requests run; zero
	// where it is not known.
	Speeds [NumClasses]int
}
