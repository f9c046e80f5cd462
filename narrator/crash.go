package narrator

import (
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
)

// LogCrash returns a function that logs that a request is suspected of the crash of an
// upstream, with what identifies the request and the parts of its prompt.
func LogCrash(l *logger.Logger) func(r *kingcuphook.Request, u *kingcuphook.Upstream) {
	return func(r *kingcuphook.Request, u *kingcuphook.Upstream) {
		l.Log(logger.CrashSuspected, "request", r.ID(), "upstream", u.Address(), "instance", u.Instance(), "born", u.StartTime(),
			"route", r.Class(), "organisation", r.Organisation(), "fingerprint", hasher.Format(r.Fingerprint()),
			"parts", formatParts(r.Parts()))
	}
}

// LogPart returns a function that logs a change of the state of a prompt part, with the crashes
// that are counted against it.
func LogPart(l *logger.Logger) func(isolator.Entry) {
	return func(e isolator.Entry) {
		now := time.Now()
		programs := make([]string, 0, len(e.Crashes()))
		oldest := time.Duration(0)
		for _, c := range e.Crashes() {
			programs = append(programs, c.Program())
			oldest = max(oldest, now.Sub(c.At()))
		}
		l.Log(logger.PartStateChanged, "part", isolator.FormatPart(e.Part()), "state", e.State(),
			"since-ms-ago", now.Sub(e.Since()).Milliseconds(), "crashes", len(programs), "first-crash-ms-ago", oldest.Milliseconds(),
			"programs", strings.Join(programs, ","))
	}
}

// formatParts returns the hashes of prompt parts as a comma-separated list.
func formatParts(parts []uint64) string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, isolator.FormatPart(p))
	}
	return strings.Join(list, ",")
}
