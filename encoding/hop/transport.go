package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	dialTimeout  = time.Second
	idleTimeout  = time.Minute
	copyBytes    = 32 << 10
	continueWait = time.Hour // longer than any deadline: the body waits for admission
)

// NewTransport returns the transport of one hop: HTTP/1.1 with one request on
// a connection at a time, so that no request waits behind another's bytes.
// perHost bounds the connections to one address; zero is without bound.
func NewTransport(from network.Network, perHost int) *http.Transport {
	idle := perHost
	if idle == 0 {
		idle = 64
	}
	return &http.Transport{
		DialContext:           dialWithin(from),
		MaxConnsPerHost:       perHost,
		MaxIdleConnsPerHost:   idle,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: continueWait,
		DisableCompression:    true,
	}
}

// dialWithin bounds the time that a connection takes to be made.
func dialWithin(from network.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return from.DialContext(ctx, kind, address)
	}
}

// TransportFailure says what an error of a transport means for the request: it
// did not run when no connection was made, and may have otherwise.
func TransportFailure(err error) *verdict.Error {
	var op *net.OpError
	if eris.As(err, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, verdict.ConnectFailed, err)
	}
	if eris.Is(err, context.DeadlineExceeded) {
		return verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.TransportFailed, err)
}

// CopyBody streams a body and flushes as it goes, so that slow answers arrive
// as they are made.
func CopyBody(w http.ResponseWriter, from io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return eris.Wrap(failed, "write body")
			}
			if failed := control.Flush(); failed != nil {
				return eris.Wrap(failed, "flush body")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "read body")
		}
	}
}
