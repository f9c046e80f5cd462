package permitter

import (
	"errors"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Whatever a peer sends, it is rejected, or answered with a message that the peer accepts.
func FuzzReceive(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	entry := requestEntry{key: 1, evidence: evidence{perSecond: 4, announcedAt: now}, tier: 1, wanted: 255, unused: 255, spare: true}
	f.Add(entry.append(newHeader(KindRequest, 1, 0), now))
	f.Add(replyEntry{key: 1, issued: 255, wait: time.Hour, retry: time.Hour}.append(newHeader(KindReply, 1, 0)))
	f.Add(newHeader(KindReply, 0, flagDeclined))
	f.Add([]byte{byte(KindRequest)})
	state := stateEntry{key: 1, slots: 4, tolerated: 3, begunAt: now, announcedAt: now, absentSentAt: now, held: 2, wanted: 255, tier: 1}
	f.Add(state.append(newHeader(KindState, 1, 0), now))
	f.Add(newHeader(KindState, 1, 0))
	f.Add(grantEntry{key: 1, places: 4, ended: true, wait: time.Hour}.append(newHeader(KindGrant, 1, 0)))
	f.Add(noticeEntry{key: 1, tolerated: 3, announcedAt: now}.append(newHeader(KindBrittle, 0, 0), now))
	f.Fuzz(func(t *testing.T, message []byte) {
		p := &Permitter{}
		p.SetRouters(now, []string{"a", "b"})
		for _, at := range []time.Time{now, now.Add(time.Minute)} {
			if !IsMessage(message) {
				return
			}
			reply, _, err := p.Receive(at, "a", message)
			if err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
				t.Fatal(err)
			}
			if len(reply) == 0 {
				continue
			}
			entryBytes := replyEntryBytes
			if Kind(reply[0]) == KindGrant {
				entryBytes = grantEntryBytes
			}
			if _, _, entries, err := decodeHeader(reply, entryBytes); err != nil || len(entries) > maxEntries*entryBytes {
				t.Fatalf("reply %x: %v", reply, err)
			}
		}
		if n := p.Count(); n < 0 || n > maxEntries {
			t.Fatal(n)
		}
	})
}
