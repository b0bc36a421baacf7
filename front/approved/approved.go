// Package approved passes approved configuration documents between nodes by HTTP
// long polling, so that a node that cannot read the document store still receives
// new configuration. Handler serves the document in force at this node; Client
// requests a newer one from a peer.
package approved

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// Path is the URL path of Handler on a node's peer listener.
	Path = "/approved"
	// maxWait limits how long Handler holds a request open.
	maxWait = 10 * time.Second
	// maxDocumentBytes limits the part of a response body that Client reads.
	maxDocumentBytes = 16 << 20
	// headerMargin is the time allowed for the response header beyond the
	// requested wait; bodyTimeout is the time allowed for the body, enough for a
	// slow link.
	headerMargin = 800 * time.Millisecond
	bodyTimeout  = 4 * time.Second

	headerVersion = "Marigold-Version"
	encodingGzip  = "gzip"
	// minCompressedBytes is the size from which a document is compressed.
	minCompressedBytes = 8 << 10
)

// Handler serves the document in force to peers. A GET waits up to the query
// parameter wait (milliseconds, at most maxWait) for a document with a version
// greater than the query parameter above. It responds with 200 and the document,
// or with 204 if there is none in that time. Both name the version in force.
//
// A long document is compressed for peers that accept it: slow links carry it to
// many peers at once. It is safe for concurrent use.
type Handler struct {
	Document interface {
		Await(context.Context, func(tables.Document) bool) (tables.Document, error)
	}

	mu                sync.Mutex
	compressed        []byte // the document of compressedVersion
	compressedVersion mesh.Version
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	above, err := strconv.ParseUint(query.Get("above"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait"))
	if err != nil || waitErr != nil || wait < 0 {
		http.Error(w, "query parameters above and wait must be non-negative integers", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWait))
	defer cancel()
	document, err := h.Document.Await(ctx, func(d tables.Document) bool { return d.Version > mesh.Version(above) })
	if err != nil {
		if document, err := h.Document.Await(r.Context(), func(tables.Document) bool { return true }); err == nil {
			w.Header().Set(headerVersion, strconv.FormatUint(uint64(document.Version), 10))
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set(headerVersion, strconv.FormatUint(uint64(document.Version), 10))
	if len(document.Raw) < minCompressedBytes || r.Header.Get("Accept-Encoding") != encodingGzip {
		// A write fails only if the peer closed the connection.
		_, _ = io.WriteString(w, document.Raw)
		return
	}
	data, err := h.compress(document)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", encodingGzip)
	_, _ = w.Write(data) // as above
}

// compress returns the compressed document. It compresses each version once.
func (h *Handler) compress(d tables.Document) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.compressedVersion == d.Version {
		return h.compressed, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "approved: compress document")
	}
	if _, err := io.WriteString(writer, d.Raw); err != nil {
		return nil, eris.Wrap(err, "approved: compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "approved: compress document")
	}
	h.compressed, h.compressedVersion = buffer.Bytes(), d.Version
	return h.compressed, nil
}

// Client requests documents from peers.
type Client struct {
	HTTP *http.Client
	// Decode parses the published form of a document.
	Decode func(raw []byte) (mesh.ApprovedConfig, error)
}

// Fetch requests a document newer than request.NewerThan from the peer at
// request.Address. The result has neither a document nor an error if the peer had
// no newer one within request.Wait.
func (c Client) Fetch(ctx context.Context, request tables.DocumentRequest) tables.DocumentResult {
	result := tables.DocumentResult{Request: request}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(request.Wait+headerMargin, cancel)
	defer timer.Stop()
	address := url.URL{Scheme: "http", Host: request.Address, Path: Path, RawQuery: url.Values{
		"above": {strconv.FormatUint(uint64(request.NewerThan), 10)},
		"wait":  {strconv.FormatInt(request.Wait.Milliseconds(), 10)},
	}.Encode()}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		result.Err = eris.Wrap(err, "approved: create document request to peer")
		return result
	}
	httpRequest.Header.Set("Accept-Encoding", encodingGzip)
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		result.Err = eris.Wrap(err, "approved: request document from peer")
		return result
	}
	defer response.Body.Close()
	timer.Reset(bodyTimeout)
	return c.readDocument(response, result)
}

// readBody returns the body of a response, uncompressed.
func readBody(response *http.Response) ([]byte, error) {
	var body io.Reader = response.Body
	if response.Header.Get("Content-Encoding") == encodingGzip {
		uncompressed, err := gzip.NewReader(response.Body)
		if err != nil {
			return nil, err
		}
		body = uncompressed
	}
	raw, err := io.ReadAll(io.LimitReader(body, maxDocumentBytes+1))
	if err == nil && len(raw) > maxDocumentBytes {
		err = eris.Errorf("document is longer than %d bytes", maxDocumentBytes)
	}
	return raw, err
}

// readDocument adds the document in a peer's response to the result. Status 204
// adds none.
func (c Client) readDocument(response *http.Response, result tables.DocumentResult) tables.DocumentResult {
	switch response.StatusCode {
	case http.StatusNoContent:
		// Zero, which stands for none, without a valid header.
		version, _ := strconv.ParseUint(response.Header.Get(headerVersion), 10, 64)
		result.InForce = mesh.Version(version)
		return result
	case http.StatusOK:
	default:
		result.Err = eris.Errorf("approved: peer responded with status %d to document request", response.StatusCode)
		return result
	}
	raw, err := readBody(response)
	if err != nil {
		result.Err = eris.Wrap(err, "approved: read document from peer's response body")
		return result
	}
	source := result.Request.Address
	config, err := c.Decode(raw)
	if err != nil {
		// Without a valid header the version is zero, which is unknown.
		version, _ := strconv.ParseUint(response.Header.Get(headerVersion), 10, 64)
		result.Rejected = tables.RejectedDocument{Version: mesh.Version(version), Source: source, Reason: err.Error()}
		return result
	}
	result.Document = tables.Document{Version: config.Version, Raw: string(raw), Config: &config, Source: source}
	return result
}
