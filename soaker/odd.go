package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// maxOddEntries is the largest number of odd entries of a fault.
	maxOddEntries = 12
	// oddDepth is the depth of nested values, oddBytes the size of huge ones.
	oddDepth = 20_000
	oddBytes = 200_000
	// repeatTime is how long an upstream repeats its refusals.
	repeatTime = 5 * time.Second
)

// oddFields are values for the fields of a registration of which no upstream writes any.
var oddFields = map[string][]string{
	"address":      {`""`, `"127.0.0.1"`, `"127.0.0.1:0"`, `"127.0.0.1:70000"`, `"127.0.0.1:-1"`, `":80"`, `5`, `null`, `["127.0.0.1:80"]`},
	"batchSlots":   {`0`, `-1`, `1e300`, `9000000000000000000`, `2147483647`, `1.5`, `"16"`, `{}`},
	"born":         {`0`, `-1`, `1.5`, `1e300`, `1e999`, `"now"`, `[]`},
	"seq":          {`-5`, `1e400`, `99999999999999999999`, `"x"`, `{}`},
	"service":      {`""`, `3`, `"nowhere"`, `null`},
	"state":        {`""`, `"gone"`, `7`, `{}`},
	"version":      {`5`, `[]`, `{}`, `null`, `true`},
	"warmupLeftMs": {`-1`, `1e300`, `1e999`, `"soon"`},
	"zone":         {`""`, `7`, `"nowhere"`},
	"models":       {`5`, `[5]`, `[{"name":7}]`, `{}`},
}

// oddEntry is an entry of the store that its readers must ignore.
type oddEntry struct {
	key   string
	value []byte
}

// randomOddEntry returns the n-th odd entry of a fault.
func randomOddEntry(rng *rand.Rand, n int) oddEntry {
	prefixes := []string{platform.RegistrationPrefix, platform.RegistrationPrefix, "op/", "quarantine/", "quarantine/parts/"}
	key := fmt.Sprintf("%sodd-%d-%d", prefixes[rng.IntN(len(prefixes))], n, rng.IntN(maxOddEntries))
	bytes := []string{
		"", "\xff\xfe\x00", "null", "[]", "true", `"text"`, "{", `{"service":`,
		strings.Repeat("[", oddDepth), strings.Repeat(`{"a":`, oddDepth) + "1" + strings.Repeat("}", oddDepth),
		`{"service":"` + strings.Repeat("x", oddBytes) + `"}`,
	}
	if rng.IntN(2) == 0 {
		return oddEntry{key, []byte(bytes[rng.IntN(len(bytes))])}
	}
	return oddEntry{key, oddRegistration(rng)}
}

// oddRegistration returns a registration with one odd field. No upstream listens at its address.
func oddRegistration(rng *rand.Rand) []byte {
	value, err := standin.Registration{Address: "127.0.0.1:1", Born: time.Now(), Sequence: 1}.Encode()
	if err != nil {
		return nil
	}
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal(value, &fields) != nil {
		return nil
	}
	names := []string{"address", "batchSlots", "born", "seq", "service", "state", "version", "warmupLeftMs", "zone", "models"}
	name := names[rng.IntN(len(names))]
	fields[name] = json.RawMessage(oddFields[name][rng.IntN(len(oddFields[name]))])
	value, err = json.Marshal(fields)
	if err != nil {
		return nil
	}
	return value
}

// oddFault returns a fault in which another writer leaves odd entries in the store. Some of them
// stay until the end of the run.
func (env *environment) oddFault(rng *rand.Rand, duration time.Duration) fault {
	entries := make([]oddEntry, 1+rng.IntN(maxOddEntries))
	for n := range entries {
		entries[n] = randomOddEntry(rng, n)
	}
	stay := rng.IntN(2) == 0
	begin := func() {
		for _, e := range entries {
			_ = env.put(e.key, e.value)
		}
	}
	end := func() {
		for _, e := range entries {
			if stay {
				continue
			}
			// The error is ignored: an entry that a restored store lost needs no removal.
			_ = env.store.Delete(context.Background(), e.key, kingcuphook.RevisionAny)
		}
	}
	return fault{fmt.Sprintf("%d odd entries, which stay %v", len(entries), stay), duration, begin, end}
}

// repeatFault returns a fault in which an upstream writes each of its refusals once more, before
// its next answer on the connection.
func (env *environment) repeatFault(i int) fault {
	u := env.upstream(i)
	begin := func() {
		u.trouble()
		u.RepeatRefusals(true)
	}
	end := func() {
		u.RepeatRefusals(false)
		u.calm()
	}
	return fault{u.name + " repeats refusals", repeatTime, begin, end}
}

// ownEnds describes the routers whose processes ended by themselves.
func (env *environment) ownEnds() []string {
	var ended []string
	for _, r := range env.routers {
		r.mu.Lock()
		for _, at := range r.ownEnds {
			ended = append(ended, fmt.Sprintf("%s ended by itself at %s", r.name, at.Format("05.000")))
		}
		r.mu.Unlock()
	}
	return ended
}
