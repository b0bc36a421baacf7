package distrib

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	messages "github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// responseTimeout limits the time for a response, beyond the wait that a pull
// requests.
const responseTimeout = 3 * time.Second

// Client sends requests to the Distribution service of other nodes. It is safe
// for concurrent use.
type Client struct {
	HTTP  *http.Client
	Clock clock.Clock
}

// Pull sends one Pull request. Its result goes into the table AskResults.
func (c *Client) Pull(ctx context.Context, _ string, a distribution.OutgoingPull) tables.PullResult {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+responseTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+a.To.Address, c.HTTP)
	message, err := client.Pull(ctx, messages.EncodePullRequest(a.Request, a.Wait))
	if err != nil {
		return tables.PullResult{Pull: a, Err: eris.Wrap(err, "pull configuration stream from peer")}
	}
	answer, err := messages.DecodePullAnswer(message)
	return tables.PullResult{Pull: a, Answer: answer, Err: err}
}

// Recall requests the version that a node has recorded for a host. Its result
// goes into the table Recalls.
func (c *Client) Recall(ctx context.Context, _ mesh.HostID, a tables.VersionReportRequest) distribution.VersionReportResult {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+a.To.Address, c.HTTP)
	answer, err := client.Recall(ctx, &messages.RecallRequest{Host: string(a.Host)})
	if err != nil {
		return distribution.VersionReportResult{Failed: true, At: c.Clock.Now()}
	}
	recall := distribution.VersionReport{Version: mesh.Version(answer.Version), FloorKnown: answer.Settled}
	return distribution.VersionReportResult{Report: recall, At: c.Clock.Now()}
}
