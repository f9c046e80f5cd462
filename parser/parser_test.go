package parser

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/encoder"
)

// validRoutes is a valid table of routes. Tests expect its line numbers.
const validRoutes = `# The counter comes first.
[[route]]
name = "till"
class = "till"
path = "/v1/chat/completions"
pool = "cairo-till"
tier = 1
target = "1.5s"
token-target = "31ms"
deadline = "30s"

[[route]]
name = "redemption"
class = "redemption"
organisation = "nilecup"
pool = "cups"
tier = 1
non-idempotent = true
organisation-rate = 50.0
rate = 200.0

[[route]]
name = "rest"
pool = "cairo-till"
tier = 5
`

// validPools is a valid table of pools. Tests expect its line numbers.
const validPools = `
[[pool]]
name = "cairo-till"
max-queued = 1000
max-reloading = 2
spill-regions = true

[[pool.upstream]]
address = "127.0.0.1:9001"
region = "cairo"
data-centre = "cairo-1"
models = ["m", "n"]
slots = 8
checks-fence = true
resumes = true
priorities = true

[[pool.upstream]]
address = "[::1]:9002"
region = "alex"
data-centre = "alex-1"
kind = "engine"
leaving = true

[[pool.placement]]
model = "m"
region = "cairo"
min = 1
max = 1

[[pool]]
name = "cups"
[[pool.upstream]]
address = "127.0.0.1:9100"
region = "cairo"
data-centre = "cairo-1"
kind = "service"
`

// validate parses and validates both tables together.
func validate(routes, pools string) error {
	r, err := ParseRoutes("routes.toml", []byte(routes))
	if err != nil {
		return err
	}
	p, err := ParsePools("pools.toml", []byte(pools))
	if err != nil {
		return err
	}
	return Validate(r, p)
}

func TestTablesRoundTripThroughTOML(t *testing.T) {
	is := is.New(t)
	is.NoErr(validate(validRoutes, validPools))
	r, err := ParseRoutes("routes.toml", []byte(validRoutes))
	is.NoErr(err)
	p, err := ParsePools("pools.toml", []byte(validPools))
	is.NoErr(err)
	routes, err := encoder.RoutesTOML(r.Routes())
	is.NoErr(err)
	pools, err := encoder.PoolsTOML(p.Pools())
	is.NoErr(err)
	routesAgain, err := ParseRoutes("routes.toml", routes)
	is.NoErr(err)
	is.Equal(routesAgain.Routes(), r.Routes())
	poolsAgain, err := ParsePools("pools.toml", pools)
	is.NoErr(err)
	is.Equal(poolsAgain.Pools(), p.Pools())
}

func TestInvalidTablesAreRejectedWithLineAndReason(t *testing.T) {
	routes := func(old, text string) [2]string { return [2]string{replace(t, validRoutes, old, text), validPools} }
	pools := func(old, text string) [2]string { return [2]string{validRoutes, replace(t, validPools, old, text)} }
	for _, tt := range []struct {
		tables [2]string
		want   string
	}{
		{routes(`pool = "cups"`, `pool = "mugs"`), `routes.toml:12: route "redemption": there is no pool "mugs"`},
		{routes(`name = "rest"`, `name = "till"`), `routes.toml:22: route "till" is already defined on line 2`},
		{routes(`name = "redemption"`, `name = ""`), `routes.toml:12: route "": name is missing`},
		{routes("class = \"till\"\npath = \"/v1/chat/completions\"\n", ""), `routes.toml:10: route "redemption" is never reached: route "till" on line 2`},
		{routes("name = \"rest\"", "name = \"rest\"\nclass = \"till\"\npath = \"/v1/chat/completions/x\""), `routes.toml:22: route "rest" is never reached`},
		{routes(`target = "1.5s"`, `target = "-1s"`), `routes.toml:2: route "till": target must not be negative`},
		{routes(`target = "1.5s"`, `target = "fast"`), `routes.toml:8: `},
		{routes(`target = "1.5s"`, `target = "31s"`), `routes.toml:2: route "till": target must not be longer than deadline`},
		{routes(`rate = 200.0`, `rate = nan`), `routes.toml:12: route "redemption": rate must be a number`},
		{routes(`tier = 5`, `tier = 6`), `routes.toml:22: route "rest": tier must be from 1 to 5`},
		{routes(`tier = 5`, `tyre = 5`), `routes.toml:25: unknown key "tyre"`},
		{routes(`path = "/v1`, `path = "v1`), `routes.toml:2: route "till": path must start with "/"`},
		{routes(`tier = 5`, `tier = `), `routes.toml:25: `},
		{routes(`tier = 5`, "tier = 5\ntier = 4"), `routes.toml:26: `},
		{pools(`"127.0.0.1:9100"`, `"cups.example:9100"`), `pools.toml:33: pool "cups": upstream "cups.example:9100": address must be an IP number with a port`},
		{pools(`"127.0.0.1:9100"`, `"127.0.0.1:0"`), `pools.toml:33: `},
		{pools(`"127.0.0.1:9100"`, `"127.0.0.1:9001"`), `pools.toml:33: pool "cups": upstream "127.0.0.1:9001" has other fields in pool "cairo-till" on line 8`},
		{pools(`"[::1]:9002"`, `"127.0.0.1:9001"`), `pools.toml:18: pool "cairo-till": upstream "127.0.0.1:9001" is already defined on line 8`},
		{pools(`"[::1]:9002"`, `"[0:0::1]:9002"`), `pools.toml:18: pool "cairo-till": upstream "[0:0::1]:9002": address must be written as [::1]:9002`},
		{pools(`kind = "service"`, `kind = "teapot"`), `pools.toml:33: `},
		{pools("min = 1\nmax = 1", "min = 2\nmax = 1"), `pools.toml:25: pool "cairo-till": placement of "m" in "cairo": min must not be larger than max`},
		{pools("min = 1\nmax = 1", "min = 2\nmax = 2"), `pools.toml:25: pool "cairo-till": placement of "m" in "cairo": min is larger than the number of engines`},
		{pools(`name = "cups"`, "name = \"cups\"\n[[pool]]\nname = \"empty\""), `pools.toml:31: pool "cups": it has no upstream`},
		{pools(`models = ["m", "n"]`, `models = ["m", "m"]`), `pools.toml:8: pool "cairo-till": upstream "127.0.0.1:9001": model m is listed twice`},
		{pools(`slots = 8`, `slots = "8"`), `pools.toml:13: `},
		{[2]string{validRoutes, ""}, `routes.toml:2: route "till": there is no pool "cairo-till" in pools.toml`},
	} {
		is := is.New(t)
		err := validate(tt.tables[0], tt.tables[1])
		var e *kingcuphook.InputError
		is.True(errors.As(err, &e))
		is.True(errors.Is(err, kingcuphook.ErrInvalid))
		if !strings.HasPrefix(err.Error(), tt.want) {
			t.Errorf("got  %s\nwant %s", err, tt.want)
		}
	}
}

// replace replaces the first occurrence of old, and fails the test if there is none.
func replace(t *testing.T, text, old, with string) string {
	t.Helper()
	if strings.Count(text, old) < 1 {
		t.Fatalf("%q is not in the table", old)
	}
	return strings.Replace(text, old, with, 1)
}

func TestOversizedFileIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := ParseRoutes("routes.toml", make([]byte, MaxFileBytes+1))
	is.True(errors.Is(err, kingcuphook.ErrTooLarge))
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
}

// FuzzTables checks that any text is either rejected with an InputError or gives
// tables that are still valid after encoding and parsing, and that Validate and
// ValidateChange agree whether a patch to them is valid.
func FuzzTables(f *testing.F) {
	f.Add(validRoutes, validPools, "[[remove]]\nroute = \"rest\"\n[[route]]\nname = \"rest\"\npool = \"cups\"\ntier = 1\nbefore = \"till\"")
	f.Add("route = [{name=\"a\", pool=\"p\", tier=1}]", "pool = [{name=\"p\", upstream=[{address=\"127.0.0.1:1\"}]}]", "")
	f.Add(validRoutes, validPools, "[[pool]]\nname = \"cups\"\n[[pool.upstream]]\naddress = \"127.0.0.1:9001\"")
	f.Fuzz(func(t *testing.T, routes, pools, patch string) {
		err := validate(routes, pools)
		var e *kingcuphook.InputError
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("not an InputError: %v", err)
		}
		if err != nil {
			return
		}
		r, _ := ParseRoutes("", []byte(routes))
		p, _ := ParsePools("", []byte(pools))
		rt, err := encoder.RoutesTOML(r.Routes())
		if err != nil {
			t.Fatal(err)
		}
		pt, err := encoder.PoolsTOML(p.Pools())
		if err != nil {
			t.Fatal(err)
		}
		if err := validate(string(rt), string(pt)); err != nil {
			t.Fatalf("encoded tables are rejected: %v\n%s%s", err, rt, pt)
		}
		pp, err := ParsePatch("", []byte(patch))
		if err != nil {
			return
		}
		base := kingcuphook.NewTables(1, r.Routes(), p.Pools())
		if r, p, err = pp.Apply(base); err != nil {
			return
		}
		whole, change := Validate(r, p), ValidateChange(base, r, p)
		if (whole == nil) != (change == nil) {
			t.Fatalf("Validate returned %v, ValidateChange %v", whole, change)
		}
	})
}
