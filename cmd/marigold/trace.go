package main

import (
	"context"
	"net/http/httptrace"
)

// traceConnection sets connected when the request gets a connection. Until then
// no part of the request can have reached the node.
func traceConnection(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
}
