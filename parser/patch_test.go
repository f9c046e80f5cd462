package parser

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
)

// validTables returns the tables that patches are applied to.
func validTables(t *testing.T) *kingcuphook.Tables {
	t.Helper()
	r, err := ParseRoutes("routes.toml", []byte(validRoutes))
	if err != nil {
		t.Fatal(err)
	}
	p, err := ParsePools("pools.toml", []byte(validPools))
	if err != nil {
		t.Fatal(err)
	}
	return kingcuphook.NewTables(1, r.Routes(), p.Pools())
}

// patch applies a patch to the valid tables and validates the result. It checks that
// Validate and ValidateChange agree.
func patch(t *testing.T, text string) (*kingcuphook.Tables, error) {
	t.Helper()
	p, err := ParsePatch("patch.toml", []byte(text))
	if err != nil {
		return nil, err
	}
	base := validTables(t)
	r, pools, err := p.Apply(base)
	if err != nil {
		return nil, err
	}
	err = Validate(r, pools)
	if change := ValidateChange(base, r, pools); (change == nil) != (err == nil) {
		t.Errorf("Validate returned %v, ValidateChange %v", err, change)
	}
	return kingcuphook.NewTables(1, r.Routes(), pools.Pools()), err
}

func TestPatchChangesOnlyItsRows(t *testing.T) {
	is := is.New(t)
	got, err := patch(t, `
[[route]]
name = "letters"
class = "letters"
pool = "cairo-till"
tier = 4
before = "rest"

[[route]]
name = "rest"
pool = "cairo-till"
tier = 3

[[pool]]
name = "cairo-till"
max-queued = 7
[[pool.upstream]]
address = "[::1]:9002"
region = "alex"
data-centre = "alex-1"
[[pool.upstream]]
address = "127.0.0.1:9003"
region = "cairo"
data-centre = "cairo-1"

[[remove]]
pool = "cairo-till"
model = "m"
region = "cairo"
`)
	is.NoErr(err)
	keys := make([]string, 0, 8)
	for _, r := range differ.Diff(validTables(t), got) {
		keys = append(keys, r.Key().String())
	}
	is.Equal(keys, []string{
		"route letters", "route rest", "pool cairo-till", "upstream cairo-till/[::1]:9002",
		"placement cairo-till/m@cairo", "upstream cairo-till/127.0.0.1:9003",
	})
	is.Equal(got.Routes()[2].Name(), "letters")
	is.Equal(got.Pool("cairo-till").Fields().MaxReloading, 2)
}

func TestInvalidPatchesAreRejectedWithLineAndReason(t *testing.T) {
	for text, want := range map[string]string{
		"\n[[remove]]\nroute = \"x\"":                             `patch.toml:2: there is no route x to remove`,
		"[[remove]]\npool = \"cups\"\nupstream = \"127.0.0.1:1\"": `patch.toml:1: there is no upstream cups/127.0.0.1:1 to remove`,
		"[[remove]]\nroute = \"till\"\npool = \"cups\"":           `patch.toml:1: remove names either`,
		"[[remove]]\n":                `patch.toml:1: there is no route`,
		"[[remove]]\npool = \"cups\"": `patch.toml: route "redemption": there is no pool "cups"`,
		"[[remove]]\npool = \"cups\"\nupstream = \"127.0.0.1:9100\"":                                                                `patch.toml:1: pool "cups": it has no upstream`,
		"[[route]]\nname = \"a\"\nbefore = \"b\"":                                                                                   `patch.toml:1: route "a": there is no route "b"`,
		"[[route]]\nname = \"a\"\npool = \"cups\"\ntier = 1":                                                                        `patch.toml:1: route "a" is never reached: route "rest"`,
		"[[route]]\nname = \"rest\"\nclass = \"till\"\npath = \"/v1/chat/completions/x\"\npool = \"cups\"\ntier = 1":                `patch.toml:1: route "rest" is never reached: route "till"`,
		"[[pool]]\nname = \"cups\"\n[[pool.upstream]]\naddress = \"127.0.0.1:9001\"\nregion = \"cairo\"\ndata-centre = \"cairo-1\"": `patch.toml:3: pool "cups": upstream "127.0.0.1:9001" has other fields in pool "cairo-till"`,
		"[[route]]\nnome = \"a\"": `patch.toml:2: unknown key "nome"`,
		"[[pool]]\nname = \"cups\"\n[[pool.upstream]]\naddress = \"127.0.0.1:1\"":                            `patch.toml:3: pool "cups": upstream "127.0.0.1:1": region is missing`,
		"[[pool]]\nname = \"cups\"\n[[pool.placement]]\nmodel = \"m\"\nregion = \"cairo\"\nmin = 1\nmax = 1": `patch.toml:3: pool "cups": placement of "m" in "cairo": min is larger`,
	} {
		is := is.New(t)
		_, err := patch(t, text)
		is.True(errors.Is(err, kingcuphook.ErrInvalid))
		if !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got  %s\nwant %s", err, want)
		}
	}
}
