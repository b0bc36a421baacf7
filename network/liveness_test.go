package network_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/network"
)

// A close is often behind bytes that nobody has read yet, where a read does not see
// it.
func TestPeerHasClosedSeesACloseBehindUnreadBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	server, err := l.Accept()
	must.NoError(t, err)
	defer server.Close()
	_, err = io.WriteString(client, "unread")
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	must.False(t, network.PeerHasClosed(server))
	must.NoError(t, client.Close())
	time.Sleep(20 * time.Millisecond)
	must.True(t, network.PeerHasClosed(server))
	data, err := io.ReadAll(server)
	must.NoError(t, err)
	must.Eq(t, "unread", string(data), must.Sprint("nothing was consumed"))
	must.False(t, network.PeerHasClosed(nil), must.Sprint("unknown for a connection without a socket"))
}
