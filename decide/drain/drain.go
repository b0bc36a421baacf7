// Package drain holds the state of a planned stop of a backend server.
package drain

import "time"

// State says whether the backend server is leaving.
type State struct {
	// Draining is true once it takes no new work.
	Draining bool
	// Stopping is true once the node itself ends when nothing is under way.
	Stopping bool
	// Since is when the drain began.
	Since time.Time
}
