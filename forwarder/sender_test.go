package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// A stream that must go on at a software version got events of a program that was not known to have it.
func TestEventsOfUnverifiedSenderAreDropped(t *testing.T) {
	version := ""
	for name, test := range map[string]struct {
		version          *string
		isLost, isOpaque bool
		want             bool
	}{
		"goes on at a version":      {version: &version, want: true},
		"begins":                    {},
		"begins after a lost one":   {isLost: true, want: true},
		"may not be resumed at all": {version: &version, isLost: true, isOpaque: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(_ int64, w net.Conn) bool {
				_, err := w.Write([]byte(reply("Content-Type: text/event-stream\r\n", "data: a\n\n")))
				return err == nil
			})
			errUnverified := errors.New("unverified")
			var sender Sender
			f := &Forwarder{Codec: codec{}, VerifySender: func(_ context.Context, s Sender) error { sender = s; return errUnverified }}
			defer f.Close()
			if test.isLost {
				f.recordLoss(u.entry)
			}
			began := time.Now()
			s, err := f.Start(t.Context(), u.entry, kingcuphook.NewAttempt(kingcuphook.AttemptFields{
				ID: "attempt-1", Request: kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r1", Stream: true, OnlyVersion: test.version}), Method: http.MethodPost, Path: "/",
				Opaque: &kingcuphook.Opaque{Host: "host.example", Header: http.Header{}, Resumable: !test.isOpaque},
			}))
			is.Equal(errors.Is(err, errUnverified), test.want)
			is.Equal(sender.OpenedAt.After(began), test.want)
			if err == nil {
				is.NoErr(s.Close())
			}
		})
	}
}
