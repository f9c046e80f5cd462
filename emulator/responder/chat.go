package responder

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook/hasher"
)

// run is a chat request in progress.
type run struct {
	attempt, id string
	body        []byte
	seed        uint64
	tokens      int
	resumeFrom  int
}

func (u *Upstream) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	crashed, up := u.crashSignal()
	if !up {
		abort()
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	if !u.slots.acquire(r.Context(), priority) {
		notStarted(w, "busy")
		return
	}
	defer u.slots.release()
	u.sample()
	defer u.sample()

	c := newRun(r, body)
	u.begin(c.id, r.Header.Get(HeaderKey))
	if !u.prefill(r, c, crashed) {
		return
	}
	u.stream(w, r, c, crashed)
}

func newRun(r *http.Request, body []byte) run {
	c := run{
		attempt: r.Header.Get(HeaderAttempt),
		id:      r.Header.Get(HeaderRequest),
		body:    body,
		seed:    xxhash.Sum64(body),
	}
	c.resumeFrom, _ = strconv.Atoi(r.Header.Get(HeaderResumeFrom))
	c.tokens = AnswerTokens(body)
	return c
}

// AnswerTokens returns the number of tokens of the answer to a request body.
func AnswerTokens(body []byte) int {
	n := defaultAnswerTokens + int(xxhash.Sum64(body)%defaultAnswerTokens)
	if limit := int(gjson.GetBytes(body, "max_tokens").Int()); limit > 0 {
		n = min(n, limit)
	}
	return n
}

// AnswerText returns the complete answer to a request body.
func AnswerText(body []byte) string {
	var b strings.Builder
	seed := xxhash.Sum64(body)
	for i := range AnswerTokens(body) {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// token returns the text of the i-th token of an answer.
func token(seed uint64, i int) string {
	return fmt.Sprintf("t%d-%04x ", i, (seed+uint64(i)*0x9e3779b97f4a7c15)>>48)
}

// prefill waits for the time that the uncached tokens of the prompt take. It returns
// false if the request was cancelled.
func (u *Upstream) prefill(r *http.Request, c run, crashed <-chan struct{}) bool {
	cachedBlocks, blocks := u.cache.use(c.body)
	uncached := (blocks - cachedBlocks) * hasher.BlockTokens
	wait := time.Duration(uncached) * cmp.Or(u.PrefillTime, defaultPrefillTime)
	return u.sleep(r, wait, crashed)
}

// sleep waits for d. It returns false if the request was cancelled, and aborts the
// connection if the upstream crashes.
func (u *Upstream) sleep(r *http.Request, d time.Duration, crashed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-crashed:
		abort()
	case <-r.Context().Done():
	}
	return false
}

// stream writes the answer from the position resumeFrom on, token by token.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, c run, crashed <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	u.reportInHeaders(w.Header())
	flush := http.NewResponseController(w)
	sent := 0
	for i := c.resumeFrom; i < c.tokens; i++ {
		if !u.sleep(r, cmp.Or(u.StepTime, defaultStepTime), crashed) {
			u.cancelled(sent)
			return
		}
		u.injectFault(r, c, sent)
		writeChunk(w, c.attempt, i, token(c.seed, i), "")
		if flush.Flush() != nil {
			u.cancelled(sent)
			return
		}
		sent++
	}
	u.finish(c.id, sent)
	writeChunk(w, c.attempt, c.tokens, "", "stop")
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// injectFault fails the request if its body contains a mark and the number of tokens sent
// is the one to fail at.
func (u *Upstream) injectFault(r *http.Request, c run, sent int) {
	if sent == crashAfterTokens && strings.Contains(string(c.body), MarkCrash) {
		u.Crash()
		abort()
	}
	if sent == silenceAfterTokens && strings.Contains(string(c.body), MarkSilence) {
		<-r.Context().Done()
		abort()
	}
}

// writeChunk writes a chat completion chunk as a server-sent event.
func writeChunk(w io.Writer, attempt string, position int, text, finish string) {
	line := append([]byte(`data: {"id":`), gjson.AppendJSONString(nil, attempt)...)
	line = append(line, `,"object":"chat.completion.chunk","position":`...)
	line = strconv.AppendInt(line, int64(position), 10)
	line = append(line, `,"choices":[{"index":0,"delta":{"content":`...)
	line = gjson.AppendJSONString(line, text)
	line = append(line, `},"finish_reason":`...)
	if finish == "" {
		line = append(line, "null"...)
	} else {
		line = gjson.AppendJSONString(line, finish)
	}
	line = append(line, "}]}\n\n"...)
	_, _ = w.Write(line)
}
