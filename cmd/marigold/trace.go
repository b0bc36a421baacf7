package main

import (
	"context"
	"net/http/httptrace"
)

// traceConnection notes in connected whether a request got a connection: before
// that nothing of it can have reached the node.
func traceConnection(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
}
