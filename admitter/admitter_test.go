package admitter

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

// TestMain fixes the seed of package rapid to make runs reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func always(kingcuphook.Tier) int { return 1 }

// highestOnly reports the free slots of a pool that are reserved for the highest
// tier.
func highestOnly(t kingcuphook.Tier) int {
	if t == kingcuphook.HighestTier {
		return 1
	}
	return 0
}

func request(id string, tier kingcuphook.Tier, organisation string, target time.Duration) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID: id, Class: fmt.Sprint("class-", tier), Organisation: organisation,
		Tier: tier, Arrived: start, Target: target, PromptTokens: 100, Bytes: 100,
	})
}

// takeAllIDs empties the queue and returns the identifiers in order.
func takeAllIDs(a *Admitter, now time.Time) string {
	ids := ""
	for r := a.Next(now, always); r != nil; r = a.Next(now, always) {
		ids += r.ID() + " "
	}
	return ids
}

func TestNextOrdersByTierThenTarget(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	a.Offer(start, request("low", 5, "o", time.Second))
	a.Offer(start, request("later", 1, "o", 3*time.Second))
	a.Offer(start, request("untargeted", 1, "o", 0))
	a.Offer(start, request("sooner", 1, "o", 2*time.Second))
	is.Equal(takeAllIDs(a, start), "sooner later untargeted low ")
}

func TestNextServesLateRequestsLast(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	a.Offer(start, request("late", 1, "a", time.Second))
	a.Offer(start, request("good", 1, "b", 5*time.Second))
	a.Offer(start, request("low", 2, "b", 5*time.Second))
	a.Served(request("", 1, "b", 0), 1_000_000)
	is.Equal(takeAllIDs(a, start.Add(2*time.Second)), "good late low ")
}

func TestNextIsFairByServedTokens(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	served := map[string]int{}
	for i := range 400 {
		a.Offer(start, request(fmt.Sprint("big-", i), 2, "big", time.Hour))
		if i < 100 {
			a.Offer(start, request(fmt.Sprint("small-", i), 2, "small", time.Hour))
		}
	}
	for range 100 {
		r := a.Next(start, always)
		served[r.Organisation()]++
		tokens := 100
		if r.Organisation() == "small" {
			tokens = 300
		}
		a.Served(r, tokens)
	}
	// Prompts have 100 tokens, so a request of big costs 200 and one of small 400.
	is.Equal(served["big"], 67)
	is.Equal(served["small"], 33)
}

func TestIdleOrganisationEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	a.Offer(start, request("idle", 2, "idle", time.Hour))
	a.Next(start, always)
	for i := range 100 {
		a.Offer(start, request(fmt.Sprint("busy-", i), 2, "busy", time.Hour))
	}
	for range 50 {
		a.Next(start, always)
	}
	for i := range 50 {
		a.Offer(start, request(fmt.Sprint("idle-", i), 2, "idle", time.Hour))
	}
	served := map[string]int{}
	for range 40 {
		served[a.Next(start, always).Organisation()]++
	}
	// Half of 40, less one since the virtual time is the counter before the charge.
	is.Equal(served["busy"], 19)
}

func TestShedTakesFromTheLowestTierAndTheLargestLoad(t *testing.T) {
	is := is.New(t)
	a := &Admitter{MaxQueued: 5}
	for i := range 3 {
		a.Offer(start, request(fmt.Sprint("heavy-", i), 4, "heavy", time.Hour))
	}
	a.Offer(start, request("light", 4, "light", time.Hour))
	is.Equal(len(a.Offer(start, request("top-0", 1, "x", time.Hour))), 0)
	for i := range 4 {
		sheds := a.Offer(start, request(fmt.Sprint("top-", i+1), 1, "x", time.Hour))
		is.Equal(len(sheds), 1)
		is.True(errors.Is(sheds[0].Err(), kingcuphook.ErrOverloaded))
		is.Equal(sheds[0].Request().Tier(), kingcuphook.Tier(4))
		if i < 2 {
			is.Equal(sheds[0].Request().Organisation(), "heavy")
		}
	}
	is.Equal(a.Offer(start, request("low", 5, "x", time.Hour))[0].Request().ID(), "low")
}

func TestRetryAfterFollowsTheDispatchRate(t *testing.T) {
	is := is.New(t)
	a := &Admitter{MaxQueued: 100}
	now := start
	for i := range 400 {
		a.Offer(now, request(fmt.Sprint("r-", i), 1, "o", time.Hour))
		if i >= 100 {
			now = now.Add(100 * time.Millisecond)
			a.Next(now, always)
		}
	}
	// 100 requests at 10 per second take 10 s, plus up to a quarter of jitter.
	a.Offer(now, request("full", 1, "o", time.Hour))
	d := a.Offer(now, request("over", 1, "o", time.Hour))[0].RetryAfter()
	is.True(d >= 9*time.Second && d <= 14*time.Second)
}

func TestReturnUndoesNext(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	for i := range 10 {
		a.Offer(start, request(fmt.Sprint(i), 1, "o", time.Hour))
	}
	a.Offer(start, request("low", 5, "o", time.Hour))
	for range 1000 {
		first, second := a.Next(start, highestOnly), a.Next(start, highestOnly)
		is.Equal(first.ID()+second.ID(), "01")
		a.Return(start, second)
		a.Return(start, first)
	}
	is.Equal(takeAllIDs(a, start), "0 1 2 3 4 5 6 7 8 9 low ")
}

func TestReturnEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	a.Offer(start, request("low", 5, "o", time.Hour))
	a.Return(start, a.Next(start, always))
	a.Offer(start, request("top", 1, "o", time.Hour))
	is.Equal(takeAllIDs(a, start), "top low ")
}

func TestGuaranteeNeedsAFreeSlot(t *testing.T) {
	is := is.New(t)
	a := &Admitter{GuaranteedShare: 0.02}
	a.Offer(start, request("low", 5, "o", time.Hour))
	for i := range 50 {
		a.Offer(start, request(fmt.Sprint(i), 1, "o", time.Hour))
		is.Equal(a.Next(start, highestOnly).Tier(), kingcuphook.HighestTier)
	}
	is.Equal(a.Next(start, func(kingcuphook.Tier) int { return 0 }), nil)
	is.Equal(a.Next(start, highestOnly).ID(), "low")
	is.True(a.Guaranteed())
}

func TestNextGroupSkipsExcludedGroups(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	for i, model := range []string{"m", "m", "n"} {
		a.Offer(start, kingcuphook.NewRequest(kingcuphook.RequestFields{ID: fmt.Sprint(i), Tier: 1, Model: model, Arrived: start}))
	}
	r := a.NextGroup(start, always, func(model string) bool { return model == "m" })
	is.Equal(r.ID(), "2")
	is.Equal(a.NextGroup(start, always, func(model string) bool { return model == "m" }), nil)
}

// TestEveryClassIsServedUnderEndlessTopTierLoad guards against starvation. It
// checks 300 random cases of 1 to 12 classes in tiers 1 to 5 with up to 30
// requests each, one or two models and up to 20 organisations, while a request
// of the highest tier arrives before every slot and only that tier has free
// slots.
func TestEveryClassIsServedUnderEndlessTopTierLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Admitter{}
		classes := rapid.IntRange(1, 12).Draw(t, "classes")
		bound := map[string]int{}
		for c := range classes {
			tier := kingcuphook.Tier(rapid.IntRange(1, 5).Draw(t, "tier"))
			model := fmt.Sprint("m", rapid.IntRange(0, 1).Draw(t, "model"))
			for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
				id := fmt.Sprintf("%d-%d", c, i)
				a.Offer(start, kingcuphook.NewRequest(kingcuphook.RequestFields{
					ID: id, Class: fmt.Sprint("c", c), Tier: tier, Model: model, Arrived: start,
					Organisation: fmt.Sprint(rapid.IntRange(0, 19).Draw(t, "organisation")),
					Target:       time.Duration(rapid.IntRange(0, 20).Draw(t, "target")) * time.Second,
				}))
				// The guarantees cover a fortieth of the slots, at most 0.005 per
				// class; a class earns nothing for a slot granted to itself.
				bound[id] = (i+1)*(max(200, 40*(classes+1))+1) + classes
			}
		}
		now := start
		for round := 1; len(bound) > 0; round++ {
			now = now.Add(10 * time.Millisecond)
			a.Offer(now, kingcuphook.NewRequest(kingcuphook.RequestFields{
				ID: fmt.Sprint("top-", round), Class: "top", Tier: 1, Arrived: now, Target: time.Second, Organisation: "top",
			}))
			r := a.Next(now, highestOnly)
			if limit, ok := bound[r.ID()]; ok && round > limit {
				t.Fatalf("request %s was served in round %d, want at most %d", r.ID(), round, limit)
			}
			delete(bound, r.ID())
			if round > 40_000 {
				t.Fatalf("%d requests were not served within 40,000 rounds", len(bound))
			}
		}
	})
}

// TestTimeCreditServesClassWithoutSlots covers a class that earns no share of
// freed slots, since this router serves no other class, and whose tier has no
// free slots: only the time credit gets its requests served.
func TestTimeCreditServesClassWithoutSlots(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	for i := range 20 {
		a.Offer(start, request(fmt.Sprint(i), 5, "o", time.Second))
	}
	served := 0
	for ms := range 5000 {
		if a.Next(start.Add(time.Duration(ms)*time.Millisecond), highestOnly) != nil {
			served++
			is.True(a.Guaranteed())
		}
	}
	is.True(served >= 9 && served <= 10)
	off := &Admitter{GuaranteedShare: -1}
	off.Offer(start, request("0", 5, "o", time.Second))
	off.Next(start, highestOnly)
	is.Equal(off.Next(start.Add(time.Minute), highestOnly), nil)
}

// TestTimeCreditIsSmallWhileHigherTiersQueueAnywhere guards against requests that begin at one router on
// their guarantee while those of higher tiers are refused at others.
func TestTimeCreditIsSmallWhileHigherTiersQueueAnywhere(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	a.SetWaiting([kingcuphook.TierCount]int{3: 1})
	for i := range 20 {
		a.Offer(start, request(fmt.Sprint(i), 5, "o", time.Second))
	}
	served := 0
	for s := range 300 {
		if a.Next(start.Add(time.Duration(s)*time.Second), highestOnly) != nil {
			served++
		}
	}
	is.True(served >= 5 && served <= 6) // one in 50 s
}

// TestTimeCreditKeepsTheOrder covers a class that was queued long enough to be
// owed a slot while its tier has free slots: its oldest request must not overtake
// others.
func TestTimeCreditKeepsTheOrder(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	a.Offer(start, request("late", 1, "o", time.Second))
	a.Offer(start, request("good", 1, "o", time.Hour))
	a.Return(start, a.Next(start, always))
	is.Equal(a.Next(start.Add(time.Minute), always).ID(), "good")
}

func TestReturnRestoresTimeCredit(t *testing.T) {
	is := is.New(t)
	a := &Admitter{}
	a.Offer(start, request("low", 5, "o", time.Second))
	is.Equal(a.Next(start, highestOnly), nil)
	now := start.Add(time.Second)
	a.Return(now, a.Next(now, highestOnly))
	is.Equal(a.Next(now, highestOnly).ID(), "low")
}
