package measurer

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	full  = flag.Int("measure-seeds", 0, "")
	cases = flag.String("measure-cases", "", "")
	abl   = flag.Bool("measure-ablate", false, "")
)

func TestFull(t *testing.T) {
	if *full == 0 {
		t.Skip()
	}
	is := is.New(t)
	o := Options{Seed: 1, Seeds: *full, Check: true, Ablate: *abl}
	if *cases != "" {
		o.Cases = strings.Split(*cases, ",")
	}
	is.NoErr(Run(o, os.Stdout))
}
