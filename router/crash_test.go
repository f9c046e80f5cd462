package router

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// Sizes of the fleet of TestMessageThatCrashesEnginesIsRefused.
const (
	routerCount = 4
	engineCount = 10
)

const enginePool = `
[[pool]]
name = "models"
`

const engine = `
[[pool.upstream]]
address = "%s"
region = "cairo"
data-centre = "cairo-1"
kind = "engine"
models = ["m"]
slots = 8
resumes = true
`

// chat sends a chat with the messages, and returns the status; 0 if the answer breaks off.
func chat(r *Router, messages ...string) int {
	list := make([]string, 0, len(messages))
	for _, m := range messages {
		list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, m))
	}
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":20,"messages":[%s]}`, strings.Join(list, ","))
	resp, err := http.Post("http://"+r.CallersAddress()+"/v1/chat/completions", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && !bytes.Contains(answer, []byte("[DONE]")) {
		return 0
	}
	return resp.StatusCode
}

// Chats that shared nothing but one message crashed engine after engine.
func TestMessageThatCrashesEnginesIsRefused(t *testing.T) {
	store := &storer.Store{}
	platform := servePlatform(t, store)
	pools := enginePool
	engines := make([]*responder.Upstream, 0, engineCount)
	for range engineCount {
		u := &responder.Upstream{RestartTime: 2 * time.Second}
		s := httptest.NewServer(u)
		t.Cleanup(s.Close)
		engines = append(engines, u)
		pools += fmt.Sprintf(engine, s.Listener.Addr().String())
	}
	applyTables(t, store, benchmarkRoutes, pools)
	routers := runFleet(t, store, platform, routerCount)
	crashes := func() int {
		n := 0
		for _, u := range engines {
			n += u.Record().Crashes
		}
		return n
	}

	var mu sync.Mutex
	var known time.Time
	late, sound, served := 0, 0, 0
	var group sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < 16*time.Second; n++ {
		time.Sleep(25 * time.Millisecond)
		mu.Lock()
		if known.IsZero() && crashes() >= standin.CrashesKnown {
			known = time.Now()
		}
		isLate := !known.IsZero() && time.Since(known) > standin.CrashContactTime
		isCounted := !known.IsZero() && time.Since(known) > 2*standin.CrashContactTime
		mu.Unlock()
		r := routers[rand.N(len(routers))]
		messages := []string{"system prompt", fmt.Sprintf("organisation %d", n%5), fmt.Sprintf("question %d", n)}
		crashing := n%10 == 0
		if crashing {
			messages = slices.Insert(messages, n/10%3, "a message to "+responder.MarkCrash)
		}
		before := crashes()
		group.Go(func() {
			status := chat(r, messages...)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case crashing && isLate && crashes() > before:
				late++
			case !crashing && isCounted:
				sound++
				if status == http.StatusOK {
					served++
				}
			}
		})
	}
	group.Wait()
	share := float64(served) / float64(max(sound, 1))
	t.Logf("%d crashes, %d of them late, %.3f of %d sound chats served, quarantine %v", crashes(), late, share, sound, len(routers[0].Quarantine()))
	if known.IsZero() {
		t.Fatal("too few crashes")
	}
	if late > standin.MaxLateCalls {
		t.Errorf("%d chats crashed engines later than %v after the fifth crash, %d are allowed", late, standin.CrashContactTime, standin.MaxLateCalls)
	}
	if share < standin.MinServedShare {
		t.Errorf("%.3f of the sound chats served, at least %.2f are to be", share, standin.MinServedShare)
	}
}
