package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// benchmarkTokens is the length of the long answers in the benchmarks.
const benchmarkTokens = 64

const benchmarkRoutes = `
[[route]]
name = "all"
path = "/v1/chat/completions"
pool = "models"
tier = 1
`

const benchmarkPools = `
[[pool]]
name = "models"
[[pool.upstream]]
address = "%s"
region = "cairo"
data-centre = "cairo-1"
kind = "engine"
models = ["m"]
slots = 100000
resumes = true
`

// streamTokens returns an engine's handler that streams an answer of the given
// number of tokens as server-sent events without delay.
func streamTokens(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			http.NotFound(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Attempt-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w)
		for i := range tokens {
			fmt.Fprintf(w, `data: {"id":%q,"position":%d,"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`+"\n\n", id, i)
			_ = flush.Flush()
		}
		fmt.Fprintf(w, `data: {"id":%q,"position":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n", id, tokens)
	})
}

// startBenchmark starts an engine and a router in front of it and returns the URLs
// of both.
func startBenchmark(b *testing.B, tokens int) (direct, routed string) {
	b.Helper()
	return startBenchmarkWith(b, streamTokens(tokens))
}

func startBenchmarkWith(b *testing.B, h http.Handler) (direct, routed string) {
	b.Helper()
	engine := httptest.NewServer(h)
	b.Cleanup(engine.Close)
	store := &storer.Store{}
	platform := servePlatform(b, store)
	applyTables(b, store, benchmarkRoutes, fmt.Sprintf(benchmarkPools, engine.Listener.Addr().String()))
	r := listen(b, platform, 1)
	run(b, r)
	return engine.URL, "http://" + r.CallersAddress()
}

// holdStream returns an engine's handler that streams one token and keeps the
// stream open until the client disconnects.
func holdStream() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			http.NotFound(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, `data: {"id":%q,"position":0,"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`+"\n\n", r.Header.Get("X-Attempt-Id"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
}

// heldStreams is how many streams BenchmarkOpenStreams holds open. All of them must
// be opened before the limit on the time between tokens ends the first one.
const heldStreams = 1000

// BenchmarkOpenStreams reports the memory of an open stream in bytes, including the
// caller's and the engine's side of it. It runs once regardless of b.N.
func BenchmarkOpenStreams(b *testing.B) {
	_, routed := startBenchmarkWith(b, holdStream())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := memoryInUse()
	var g errgroup.Group
	g.SetLimit(64)
	var mu sync.Mutex
	var open []io.Closer
	for range heldStreams {
		g.Go(func() error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, routed+"/v1/chat/completions", bytes.NewReader(benchmarkBody))
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req) //nolint:bodyclose // closed at the end
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			open = append(open, resp.Body)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(memoryInUse()-before)/heldStreams, "B/stream")
	for _, c := range open {
		_ = c.Close()
	}
}

// memoryInUse returns the heap and stack memory in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// benchmarkBody is a request with a prompt of about 4 KB.
var benchmarkBody = []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("long text ", 400) + `"}]}`)

func call(b *testing.B, client *http.Client, url string) {
	resp, err := client.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(benchmarkBody))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.HasSuffix(text, []byte("data: [DONE]\n\n")) {
		b.Errorf("incomplete answer: status %d, error %v, last bytes %s", resp.StatusCode, err, text[max(0, len(text)-200):])
	}
}

// BenchmarkAddedDelay measures the time until an answer is complete, with and
// without the router, one request at a time. It reports the time without it and
// the added time in microseconds.
func BenchmarkAddedDelay(b *testing.B) {
	for _, tokens := range []int{1, benchmarkTokens} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			direct, routed := startBenchmark(b, tokens)
			var times [2][]time.Duration
			client := &http.Client{}
			for b.Loop() {
				for i, url := range []string{direct, routed} {
					start := time.Now()
					call(b, client, url)
					times[i] = append(times[i], time.Since(start))
				}
			}
			slices.Sort(times[0])
			slices.Sort(times[1])
			report(b, times[0], times[1], "p50", 50)
			report(b, times[0], times[1], "p99", 99)
		})
	}
}

func report(b *testing.B, direct, routed []time.Duration, name string, percent int) {
	at := func(d []time.Duration) float64 { return float64(d[(len(d)-1)*percent/100].Microseconds()) }
	b.ReportMetric(at(direct), "direct-"+name+"-µs")
	b.ReportMetric(at(routed)-at(direct), "added-"+name+"-µs")
}

// BenchmarkThroughput measures concurrent requests per second and core, with and
// without the router. Client and engine run in the same process.
func BenchmarkThroughput(b *testing.B) {
	for _, tokens := range []int{1, benchmarkTokens} {
		direct, routed := startBenchmark(b, tokens)
		for name, url := range map[string]string{"direct": direct, "routed": routed} {
			b.Run(fmt.Sprintf("%s/tokens=%d", name, tokens), func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
				b.SetParallelism(8)
				b.ReportAllocs()
				start := time.Now()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						call(b, client, url)
					}
				})
				perSecond := float64(b.N) / time.Since(start).Seconds()
				b.ReportMetric(perSecond/float64(runtime.GOMAXPROCS(0)), "requests/s/core")
			})
		}
	}
}
