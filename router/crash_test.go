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

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// Bounds of the users for calls whose part crashes upstreams, measured from the fifth crash.
const (
	crashesKnown   = 5
	contactTime    = 4 * time.Second
	maxCallsSent   = 3
	minServedShare = 0.95
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
	routers := make([]*Router, 0, routerCount)
	vms := make([]kingcuphook.VM, 0, routerCount)
	for i := range routerCount {
		r := listen(t, platform, uint64(i)+1)
		routers = append(routers, r)
		vms = append(vms, kingcuphook.NewVM(r.PeersAddress(), "cairo", "cairo-1", kingcuphook.VMStateLive))
	}
	store.SetVMs(vms)
	for _, r := range routers {
		run(t, r)
	}
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
		if known.IsZero() && crashes() >= crashesKnown {
			known = time.Now()
		}
		isLate := !known.IsZero() && time.Since(known) > contactTime
		isCounted := !known.IsZero() && time.Since(known) > 2*contactTime
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
	if late > maxCallsSent {
		t.Errorf("%d chats crashed engines later than %v after the fifth crash, %d are allowed", late, contactTime, maxCallsSent)
	}
	if share < minServedShare {
		t.Errorf("%.3f of the sound chats served, at least %.2f are to be", share, minServedShare)
	}
}
