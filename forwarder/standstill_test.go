package forwarder

import (
	"io"
	"net"
	"net/netip"
	"os/exec"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pathfinder"
)

// standStill stops this process for longer than a probe may take.
func standStill(t *testing.T) {
	t.Helper()
	if err := exec.Command("sh", "-c", "kill -STOP $PPID; sleep 0.6; kill -CONT $PPID; sleep 0.1").Run(); err != nil {
		t.Error(err)
	}
}

// A router that stood still during a probe found a sound upstream down.
func TestStandstillOfRouterIsNoFailureOfUpstream(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(n int64, w net.Conn) bool {
		if n == 1 {
			standStill(t)
		}
		_, err := io.WriteString(w, reply("", "sound"))
		return err == nil
	})
	f := &Forwarder{
		Codec: codec{}, Paths: &pathfinder.Pathfinder{}, ProbePath: "/",
		Peers: func(*kingcuphook.Upstream) []netip.Addr { return nil },
	}
	defer f.Close()
	<-f.startCheck(u.entry, netip.Addr{}).done
	is.Equal(f.Paths.State(u.entry.Program()), pathfinder.StateDirect)
}
