package attacher

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform/standin"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// sendBody sends the same stream again and returns the status.
func (f *crashFleet) sendBody(p *process) int {
	c := standin.Call{
		Kind: standin.KindStream, ID: "again", Key: "secret", Deadline: 4 * time.Second,
		Body: strings.NewReader("the same body"), Parts: append(crashingParts(0), "0last"),
	}
	r, err := c.Request(f.t.Context(), p.front)
	f.NoErr(err)
	resp, err := http.DefaultTransport.RoundTrip(r)
	f.NoErr(err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// quarantineBody sends the stream until its body is quarantined in the store, and returns the
// record.
func (f *crashFleet) quarantineBody() kingcuphook.Entry {
	f.t.Helper()
	f.crashing.Store(true)
	var stored kingcuphook.Entry
	f.waitFor("the record of the body", func() bool {
		f.sendBody(f.routers[0])
		entries, err := f.store.List(context.Background(), bodyPrefix)
		f.NoErr(err)
		if len(entries) > 0 {
			stored = entries[0]
		}
		return len(entries) > 0
	})
	return stored
}

// A request was sent to upstreams again once all routers had ended at the same moment.
func TestQuarantineOfBodyOutlivesAllRouters(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 56, 3, 8, standin.CrashBeforeHead)
	stored := f.quarantineBody()
	for _, p := range f.routers {
		p.stop()
	}
	for _, p := range f.routers {
		f.waitFor("the end of the router", func() bool { return !p.isReady() })
	}
	before := len(f.crashTimes())
	f.routers = f.startFleet(57, 3)
	for _, p := range f.routers {
		f.Equal(f.sendBody(p), http.StatusServiceUnavailable)
	}
	f.Equal(len(f.crashTimes()), before)

	f.crashing.Store(false)
	record, err := quarantiner.DecodeRecord(stored.Value())
	f.NoErr(err)
	value, err := record.Lift(time.Now()).Encode()
	f.put(stored.Key(), value, err)
	f.waitFor("the lift", func() bool {
		for _, p := range f.routers {
			if f.sendBody(p) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// A record of a body that is invalid or has expired stayed in the store.
func TestBodyRecordIsReplacedAndRemoved(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 58, 3, 8, standin.CrashBeforeHead)
	stored := f.quarantineBody()
	record, err := quarantiner.DecodeRecord(stored.Value())
	f.NoErr(err)
	f.put(stored.Key(), []byte("null"), nil)
	f.waitFor("a valid record", func() bool {
		e, err := f.store.Get(t.Context(), stored.Key())
		f.NoErr(err)
		_, err = quarantiner.DecodeRecord(e.Value())
		return err == nil
	})
	record.Body, record.Since = "ab", record.Since.Add(-time.Hour)
	value, err := record.Encode()
	f.put(bodyPrefix+record.Body, value, err)
	f.waitFor("the removal", func() bool {
		_, err := f.store.Get(t.Context(), bodyPrefix+record.Body)
		return err != nil
	})
	for _, p := range f.routers {
		f.True(p.count(logger.BodyRecordRejected) <= 1)
	}
}
