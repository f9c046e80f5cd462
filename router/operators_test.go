package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/configurer"
)

// Bodies of up to 32 MiB each were read into memory before the operators' token was verified.
func TestBodiesWithoutOperatorTokenAreNotRead(t *testing.T) {
	const textBytes, maxBytes = 16 << 20, 4 << 20
	is := is.New(t)
	r := &Router{Settings: &configurer.Settings{}}
	r.Settings.Operators.Token = "token"
	server := httptest.NewServer(r.operatorsHandler())
	defer server.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 4 {
		text := io.LimitReader(strings.NewReader(strings.Repeat("x", textBytes)), textBytes)
		body := io.MultiReader(strings.NewReader(`{"author":"a","text":"`), text, strings.NewReader(`"}`))
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/v1/tables/routes", body)
		is.NoErr(err)
		req.Header.Set("X-Operator-Token", "other")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		answer, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusUnauthorized)
		is.True(strings.Contains(string(answer), `"name":"unauthorized"`))
	}
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 4*(textBytes+maxBytes)) // the text of the test itself
}
