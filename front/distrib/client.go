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

// Pull sends one Pull request. Its result goes into the table PullResults.
func (c *Client) Pull(ctx context.Context, _ string, pull distribution.OutgoingPull) tables.PullResult {
	ctx, cancel := context.WithTimeout(ctx, pull.Wait+responseTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+pull.To.Address, c.HTTP)
	message, err := client.Pull(ctx, messages.EncodePullRequest(pull.Request, pull.Wait))
	if err != nil {
		return tables.PullResult{Pull: pull, Err: eris.Wrap(err, "pull configuration stream from peer")}
	}
	answer, err := messages.DecodePullAnswer(message)
	return tables.PullResult{Pull: pull, Answer: answer, Err: err}
}

// RequestVersionReport requests the version that a node has recorded for a
// host. Its result goes into the table VersionReportResults.
func (c *Client) RequestVersionReport(ctx context.Context, _ mesh.HostID, request tables.VersionReportRequest) distribution.VersionReportResult {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+request.To.Address, c.HTTP)
	answer, err := client.Recall(ctx, &messages.RecallRequest{Host: string(request.Host)})
	if err != nil {
		return distribution.VersionReportResult{Failed: true, At: c.Clock.Now()}
	}
	report := distribution.VersionReport{Version: mesh.Version(answer.Version), FloorKnown: answer.Settled}
	return distribution.VersionReportResult{Report: report, At: c.Clock.Now()}
}
