package forwarder

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Connections to upstreams come from the address that is set, by which a peer or an upstream
// can tell routers of one VM apart.
func TestConnectionsComeFromLocalAddress(t *testing.T) {
	is := is.New(t)
	sources := make(chan string, 1)
	u := newUpstream(t, func(_ int64, c net.Conn) bool {
		sources <- c.RemoteAddr().(*net.TCPAddr).IP.String()
		_, err := c.Write([]byte(reply("", "answer")))
		return err == nil
	})
	f := &Forwarder{Codec: codec{}, LocalAddress: &net.TCPAddr{IP: net.ParseIP("127.0.0.2")}}
	defer f.Close()
	_, err := f.Call(t.Context(), u.entry, attempt("POST", "/", "body"))
	is.NoErr(err)
	is.Equal(<-sources, "127.0.0.2")
}
