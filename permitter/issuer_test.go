package permitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// drawFor lets routers of two tiers draw from a bucket by turns for d, and returns how many
// permits each got.
func drawFor(b *bucket, now time.Time, d time.Duration) (high, low int) {
	for until := now.Add(d); now.Before(until); now = now.Add(50 * time.Millisecond) {
		b.refill(now)
		low += b.draw(now, "low", 3, 1, false)
		high += b.draw(now, "high", 1, 1, false)
	}
	return high, low
}

// What a limit leaves goes to the highest tier first, but the lower ones get some of it.
func TestHigherTierGetsPermitsFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	i := issuer{}
	b := i.bucket(now, 1, evidence{perSecond: 4})
	high, low := drawFor(b, now, 100*time.Second)
	is.True(high+low >= 200)
	is.True(low >= 10)
	is.True(high > 4*low)
}

// A router is told to wait until there is a permit for it, not longer than its turn takes.
func TestDeniedRouterWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	i := issuer{}
	b := i.bucket(now, 1, evidence{perSecond: 1})
	is.Equal(b.draw(now, "a", 1, 1, false), 0)
	wait := b.waitOf(now)
	is.True(wait >= time.Second && wait <= 2*time.Second)
	is.True(b.retryOf(now, "a") < wait)
	now = now.Add(wait + time.Millisecond)
	b.refill(now)
	is.Equal(b.draw(now, "a", 1, 1, false), 1)
}

// A bucket whose limit ended long ago has a finite number of tokens.
func TestBucketStaysFiniteAfterEndOfLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	i := issuer{}
	b := i.bucket(now, 1, evidence{perSecond: 4})
	for range endReplies {
		now = now.Add(time.Second)
		b = i.bucket(now, 1, evidence{perSecond: 4, unlimitedSentAt: now})
	}
	now = now.Add(24 * time.Hour)
	b.refill(now)
	is.True(b.ended(now))
	is.True(b.tokens <= 1000)
	b = i.bucket(now, 1, evidence{perSecond: 4, announcedAt: now})
	is.True(!b.ended(now))
	is.True(b.tokens <= minBurst)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	valid := requestEntry{key: 1, evidence: evidence{perSecond: 4}, tier: 1, wanted: 1}.append(newHeader(KindRequest, 1, 0), now)
	infinite := append([]byte(nil), valid...)
	copy(infinite[headerBytes+8:], []byte{0x7f, 0x80, 0, 0})
	tier := append([]byte(nil), valid...)
	tier[headerBytes+16] = 9
	for name, message := range map[string][]byte{
		"empty": {}, "header": valid[:headerBytes-1], "entry": valid[:len(valid)-1], "infinite limit": infinite, "tier": tier,
	} {
		p := &Permitter{Self: "a", started: now.Add(-time.Hour)}
		if _, _, err := p.Receive(now, "b", message); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	p := &Permitter{Self: "a", started: now.Add(-time.Hour)}
	reply, _, err := p.Receive(now, "b", valid)
	if err != nil || Kind(reply[0]) != KindReply {
		t.Errorf("a valid request got %v, %v", reply, err)
	}
}

// A reply that was not asked for, or comes from another router, gives no permits.
func TestForeignReplyGivesNoPermits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := &Permitter{Self: "a"}
	u := program("i-1")
	p.SetRouters(now, []string{"b"})
	p.Observe(now, u, kingcuphook.NewRateLimit(4), now)
	is.True(!p.Acquire(now, u, 1))
	messages := p.Messages(now)
	is.Equal(len(messages), 1)
	is.Equal(messages[0].To, "b") // this router does not issue permits yet
	reply := replyEntry{key: u.Key(), issued: 4}.append(newHeader(KindReply, 1, 0))
	_, more, err := p.Receive(now, "c", reply)
	is.NoErr(err)
	is.True(!more)
	_, more, err = p.Receive(now, "b", replyEntry{key: u.Key(), issued: 4}.append(newHeader(KindReply, 2, 0)))
	is.NoErr(err)
	is.True(!more)
	is.True(!p.Acquire(now, u, 1))
	_, more, err = p.Receive(now, "b", reply)
	is.NoErr(err)
	is.True(more)
	is.True(p.Acquire(now, u, 1))
}

// Reports would otherwise double what the issuer of a wanted upstream sends.
func TestReportGetsNoReply(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := &Permitter{Self: "a", started: now.Add(-time.Hour)}
	report := requestEntry{key: 1, evidence: evidence{perSecond: 4, announcedAt: now}, tier: 1, unused: 2}
	reply, more, err := p.Receive(now, "b", report.append(newHeader(KindRequest, 1, 0), now))
	is.NoErr(err)
	is.True(!more)
	is.Equal(reply, nil)
	is.Equal(p.issuer.buckets[1].perSecond, 4.0)
}

// Refusals of requests beyond the slots took the capacity of a sound upstream down to one place.
func TestRefusalsOfSurplusPlacesKeepCapacity(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		name           string
		held, capacity int
	}{
		{"surplus", 8, 8},
		{"none", 5, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &room{slots: 8, capacity: 8, holders: make(map[string]*holder)}
			r.record(now, "10.1.0.1", 1, stateEntry{slots: 8, held: test.held / 2})
			r.record(now, "10.1.0.2", 1, stateEntry{slots: 8, held: test.held - test.held/2 + 2})
			r.record(now, "10.1.0.2", 2, stateEntry{slots: 8, held: test.held - test.held/2, refusals: 2})
			if r.capacity != test.capacity {
				t.Errorf("capacity %d after 2 refusals, want %d", r.capacity, test.capacity)
			}
		})
	}
}
