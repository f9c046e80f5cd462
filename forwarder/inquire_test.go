package forwarder

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pathfinder"
)

// A sound upstream that is silent accepts connections and answers nothing; one that has ended
// refuses them.
func TestOnlyRefusedConnectionShowsEndOfSilentUpstream(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ended.Close())
	f := &Forwarder{Paths: &pathfinder.Pathfinder{}, Peers: func(*kingcuphook.Upstream) []netip.Addr { return nil }, ProbePath: "/"}
	for _, test := range []struct {
		l    net.Listener
		want kingcuphook.SilenceEvidence
	}{
		{silent, kingcuphook.SilenceEvidenceNone},
		{ended, kingcuphook.SilenceEvidenceGone},
	} {
		u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: test.l.Addr().String()})
		since := time.Now()
		is.Equal(f.InquireSilent(u, since), kingcuphook.SilenceEvidenceNone)
		time.Sleep(2 * probeTimeout) // the check ends
		is.Equal(f.InquireSilent(u, since), test.want)
		is.Equal(f.InquireSilent(u, time.Now()), kingcuphook.SilenceEvidenceNone) // of a later silence
	}
}
