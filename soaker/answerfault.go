package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// minAnswerFaultTime and maxAnswerFaultTime bound how long upstreams spoil answers.
	minAnswerFaultTime = time.Second
	maxAnswerFaultTime = 3 * time.Second
	// spoilOneIn is the share of the calls whose answer is spoilt: one in so many.
	spoilOneIn = 4
)

// brokenStreamFault returns a fault in which all upstreams break some streams that may be resumed,
// and then answer the routers that resume them with something else.
func (env *environment) brokenStreamFault(rng *rand.Rand) fault {
	faults := standin.AnswerFaults()
	kind := faults[rng.IntN(len(faults))]
	prefix := "/" + string(standin.KindResumableStream) + "/"
	return env.answerFault(fmt.Sprintf("upstreams break streams, then answer with %s", kind), rng, env.inUse(), func(n int, r *http.Request) standin.AnswerFault {
		switch {
		case !strings.HasPrefix(r.URL.Path, prefix):
			return standin.AnswerFaultNone
		case r.Header.Get("Last-Event-Id") != "":
			return kind
		case n%spoilOneIn == 0:
			return standin.AnswerFaultBroken
		}
		return standin.AnswerFaultNone
	})
}

// cutHeadFault returns a fault in which an upstream cuts the heads of some of its answers, at one
// byte after another.
func (env *environment) cutHeadFault(i int, rng *rand.Rand) fault {
	kinds := []standin.AnswerFault{standin.AnswerFaultCutHead, standin.AnswerFaultCutHead10, standin.AnswerFaultSilentHead}
	u := env.upstream(i)
	return env.answerFault(u.name+" cuts heads", rng, []*upstream{u}, func(n int, _ *http.Request) standin.AnswerFault {
		if n%spoilOneIn != 0 {
			return standin.AnswerFaultNone
		}
		return kinds[n/spoilOneIn%len(kinds)]
	})
}

// endlessFault returns a fault in which an upstream sends some answers whose bytes have no end.
func (env *environment) endlessFault(i int, rng *rand.Rand) fault {
	kinds := standin.EndlessAnswerFaults()
	u := env.upstream(i)
	return env.answerFault(u.name+" sends bytes without end", rng, []*upstream{u}, func(n int, _ *http.Request) standin.AnswerFault {
		if n%spoilOneIn != 0 {
			return standin.AnswerFaultNone
		}
		return kinds[n/spoilOneIn%len(kinds)]
	})
}

// answerFault returns a fault in which upstreams spoil their answers as spoil says, which is called
// with the number of the call at its upstream.
func (env *environment) answerFault(name string, rng *rand.Rand, upstreams []*upstream, spoil func(n int, r *http.Request) standin.AnswerFault) fault {
	begin := func() {
		for _, u := range upstreams {
			u.trouble()
			n := 0
			u.SetAnswerFault(func(r *http.Request) standin.AnswerFault {
				n++
				return spoil(n, r)
			})
		}
	}
	end := func() {
		for _, u := range upstreams {
			u.SetAnswerFault(nil)
			u.calm()
		}
	}
	return fault{name, between(rng, minAnswerFaultTime, maxAnswerFaultTime), begin, end}
}

// inUse returns the upstreams in use.
func (env *environment) inUse() []*upstream {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.upstreams[:env.soak.Upstreams])
}
