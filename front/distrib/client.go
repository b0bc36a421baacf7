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

// answerTimeout is how long an answer may take beyond the time for which it
// may be held.
const answerTimeout = 3 * time.Second

// Client asks other nodes. It is safe for concurrent use.
type Client struct {
	HTTP  *http.Client
	Clock clock.Clock
}

// Ask sends one request; its outcome goes into AskResults.
func (c *Client) Ask(ctx context.Context, _ string, a spread.Ask) tables.AskResult {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+answerTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+a.To.Address, c.HTTP)
	message, err := client.Pull(ctx, messages.FromRequest(a.Request, a.Wait))
	if err != nil {
		return tables.AskResult{Ask: a, Err: eris.Wrap(err, "pull")}
	}
	answer, err := messages.ToAnswer(message)
	return tables.AskResult{Ask: a, Answer: answer, Err: err}
}

// Recall asks a node what it remembers; the outcome goes into Recalls.
func (c *Client) Recall(ctx context.Context, _ mesh.HostID, a tables.RecallAsk) spread.Recalled {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	client := messages.NewDistributionProtobufClient("http://"+a.To.Address, c.HTTP)
	answer, err := client.Recall(ctx, &messages.RecallRequest{Host: string(a.Host)})
	if err != nil {
		return spread.Recalled{Failed: true, At: c.Clock.Now()}
	}
	recall := spread.Recall{Version: mesh.Version(answer.Version), Settled: answer.Settled}
	return spread.Recalled{Recall: recall, At: c.Clock.Now()}
}
