package attacher

import (
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// Odd entries in the store must not keep a router from starting or from following the store, nor
// become upstreams, and must be logged once although the store is read again.
func TestRouterServesBesideOddEntries(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	server := `{"service":"models","address":"127.0.0.1:1","zone":"zone","batchSlots":4,"state":"ready"}`
	for key, value := range map[string]string{
		"servers/": server, "servers/a\tb": server, "servers/i-0a": strings.Repeat("[", 100_000), "servers/i-0b": "\xff",
		"servers/i-0c": strings.Replace(server, "127.0.0.1:1", "127.0.0.1:99999", 1),
		"servers/i-0d": strings.Replace(server, "4", "9223372036854775807", 1),
		"servers/z":    strings.Replace(server, "4", "1e400", 1),
	} {
		w.put(key, []byte(value), nil)
	}
	p := w.start(loopback("10.9"), w.server.Listener.Addr().String())
	w.waitFor("readiness", p.isReady)
	w.put(platform.DeclarationKey, []byte(`{"version":9223372036854775807}`), nil)
	w.waitFor("the log event of the odd configuration", func() bool { return p.count(logger.TablesRejected) == 1 })
	w.storeDown.Store(true)
	w.waitFor("the loss of the store", func() bool { return p.count(logger.StoreUnavailable) > 0 })
	w.storeDown.Store(false) // all entries are read again
	w.waitFor("the return of the store", func() bool { return p.count(logger.StoreAvailable) > 0 })
	w.keys = []string{"other"}
	w.put("servers/odd-later", []byte("null"), nil)
	w.waitFor("the log event of the odd entry", func() bool { return p.count(logger.RegistrationRejected) == 2 })
	w.declare()
	w.waitFor("the next configuration", func() bool {
		status, _, err := p.call(standin.KindResumableStream, "other")
		return err == nil && status == http.StatusOK
	})
	w.Equal(p.count(logger.TablesRejected), 1)
	w.Equal(p.count(logger.RegistrationRejected), 2)
	w.True(!strings.Contains(p.log.String(), "upstreams=3"))
}

// count returns how often the router has logged an event.
func (p *process) count(e logger.Event) int { return strings.Count(p.log.String(), e.Message) }
