package distrib

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
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

// Ask sends one Pull request. Its result goes into the table AskResults.
func (c *Client) Ask(ctx context.Context, _ string, a spread.Ask) tables.AskResult {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+responseTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+a.To.Address, c.HTTP)
	message, err := client.Pull(ctx, messages.FromRequest(a.Request, a.Wait))
	if err != nil {
		return tables.AskResult{Ask: a, Err: eris.Wrap(err, "pull configuration stream from peer")}
	}
	answer, err := messages.ToAnswer(message)
	return tables.AskResult{Ask: a, Answer: answer, Err: err}
}

// Recall requests the version that a node has recorded for a host. Its result
// goes into the table Recalls.
func (c *Client) Recall(ctx context.Context, _ mesh.HostID, a tables.RecallAsk) spread.Recalled {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+a.To.Address, c.HTTP)
	answer, err := client.Recall(ctx, &messages.RecallRequest{Host: string(a.Host)})
	if err != nil {
		return spread.Recalled{Failed: true, At: c.Clock.Now()}
	}
	recall := spread.Recall{Version: mesh.Version(answer.Version), Settled: answer.Settled}
	return spread.Recalled{Recall: recall, At: c.Clock.Now()}
}
