// Package approved hands approved configuration from node to node, so that a
// node which the store turns away follows the others.
package approved

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// Path is where a node answers its peers.
	Path = "/approved"
	// maxWait bounds how long a peer's ask is held.
	maxWait = 10 * time.Second
	// maxDocument bounds a document, in bytes.
	maxDocument = 16 << 20
	// slack is what the head of an answer may take beyond the time that it is
	// held for, bodyTimeout what its body may take on a slow link.
	slack       = 800 * time.Millisecond
	bodyTimeout = 4 * time.Second

	headerVersion = "Marigold-Version"
)

// Handler answers peers. A GET holds for wait milliseconds until there is a
// document above the version given: 200 with the document, or 204.
type Handler struct {
	Document interface {
		Await(context.Context, func(tables.Document) bool) (tables.Document, error)
	}
}

// ServeHTTP implements http.Handler.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	above, err := strconv.ParseUint(query.Get("above"), 10, 64)
	wait, badWait := strconv.Atoi(query.Get("wait"))
	if err != nil || badWait != nil || wait < 0 {
		http.Error(w, "above and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWait))
	defer cancel()
	document, err := h.Document.Await(ctx, func(d tables.Document) bool { return d.Version > mesh.Version(above) })
	if err != nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set(headerVersion, strconv.FormatUint(uint64(document.Version), 10))
	// A failed write means that the peer is gone.
	_, _ = io.WriteString(w, document.Raw)
}

// Client asks peers.
type Client struct {
	HTTP *http.Client
	// Decode reads a document's published form.
	Decode func(raw []byte) (mesh.Approved, error)
}

// Ask asks the peer that the ask names.
func (c Client) Ask(ctx context.Context, ask tables.DocumentAsk) tables.DocumentResult {
	result := tables.DocumentResult{Ask: ask}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(ask.Wait+slack, cancel)
	defer limit.Stop()
	address := url.URL{Scheme: "http", Host: ask.Address, Path: Path, RawQuery: url.Values{
		"above": {strconv.FormatUint(uint64(ask.Above), 10)},
		"wait":  {strconv.FormatInt(ask.Wait.Milliseconds(), 10)},
	}.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		result.Err = eris.Wrap(err, "approved: request")
		return result
	}
	answer, err := c.HTTP.Do(request)
	if err != nil {
		result.Err = eris.Wrap(err, "approved: ask peer")
		return result
	}
	defer answer.Body.Close()
	limit.Reset(bodyTimeout)
	result.Document, result.Err = c.read(answer, ask.Address)
	return result
}

func (c Client) read(answer *http.Response, from string) (tables.Document, error) {
	switch answer.StatusCode {
	case http.StatusNoContent:
		return tables.Document{}, nil
	case http.StatusOK:
	default:
		return tables.Document{}, eris.Errorf("approved: peer answered %d", answer.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxDocument))
	if err != nil {
		return tables.Document{}, eris.Wrap(err, "approved: read document")
	}
	config, err := c.Decode(raw)
	if err != nil {
		return tables.Document{}, err
	}
	return tables.Document{Version: config.Version, Raw: string(raw), Config: &config, From: from}, nil
}
