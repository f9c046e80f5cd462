package measurer

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/kingcuphook/kingcuphook"
)

//go:embed cases.toml
var defaultCases []byte

// duration is a time.Duration that TOML writes as "250ms".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if value < 0 {
		return fmt.Errorf("negative duration %s", value)
	}
	*d = duration(value)
	return nil
}

func (d duration) std() time.Duration { return time.Duration(d) }

// file is a file of cases.
type file struct {
	// Horizon is the period in which requests arrive; Drain is how long the run goes
	// on after it for open requests to end.
	Horizon     duration `toml:"horizon"`
	Drain       duration `toml:"drain"`
	Routers     int      `toml:"routers"`
	RegionDelay duration `toml:"region-delay"`
	CentreDelay duration `toml:"centre-delay"`

	Runner        runnerSpec        `toml:"runner"`
	Organisations organisationsSpec `toml:"organisations"`
	Classes       []classSpec       `toml:"class"`
	Cases         []caseSpec        `toml:"case"`
}

// runnerSpec describes the emulated engines of the runners.
type runnerSpec struct {
	StepBase     duration `toml:"step-base"`
	StepSequence duration `toml:"step-sequence"`
	StepToken    duration `toml:"step-token"`
	// Batch limits the running requests of a runner, Chunk the prompt tokens that one
	// step prefills.
	Batch       int      `toml:"batch"`
	Chunk       int      `toml:"chunk"`
	CacheTokens int      `toml:"cache-tokens"`
	ReportEvery duration `toml:"report-every"`
	ReportLag   duration `toml:"report-lag"`
	EventLag    duration `toml:"event-lag"`
	// EventLoss is the share of cache events that are lost.
	EventLoss float64 `toml:"event-loss"`
	// Speeds holds the relative speed of each runner; step times are divided by it.
	Speeds []float64 `toml:"speeds"`
}

// organisationsSpec describes the calling organisations and their shares of the load.
type organisationsSpec struct {
	Count int     `toml:"count"`
	Skew  float64 `toml:"skew"`
}

// classSpec describes the requests of one class.
type classSpec struct {
	Name        string           `toml:"name"`
	Tier        kingcuphook.Tier `toml:"tier"`
	Share       float64          `toml:"share"`
	Target      duration         `toml:"target"`
	TokenTarget duration         `toml:"token-target"`
	Deadline    duration         `toml:"deadline"`
	// PrefixTokens is the length of the shared prefix, which the requests of an
	// organisation in this class begin with.
	PrefixTokens   int `toml:"prefix-tokens"`
	QuestionTokens int `toml:"question-tokens"`
	// AnswerTokens is the mean length of an answer; AnswerSpread is the standard
	// deviation of the logarithm of the length.
	AnswerTokens int     `toml:"answer-tokens"`
	AnswerSpread float64 `toml:"answer-spread"`
	// AnswerMax is the limit on the answer's tokens that the caller sets; 0 means none.
	AnswerMax int `toml:"answer-max"`
}

// caseSpec is one case. Zero values of AnswerSpread, ReportLag, EventLag and EventLoss
// leave the values that the file sets for all cases.
type caseSpec struct {
	Name         string         `toml:"name"`
	Load         float64        `toml:"load"`
	Burst        *burstSpec     `toml:"burst"`
	AnswerSpread float64        `toml:"answer-spread"`
	HotPrefix    *hotPrefixSpec `toml:"hot-prefix"`
	Straggler    *faultSpec     `toml:"straggler"`
	Crash        *faultSpec     `toml:"crash"`
	ReportLag    duration       `toml:"report-lag"`
	EventLag     duration       `toml:"event-lag"`
	EventLoss    float64        `toml:"event-loss"`
	Loud         *loudSpec      `toml:"loud"`
	// Regions is the number of regions; 0 means 1.
	Regions int `toml:"regions"`
	// Priorities makes the runners order their own queues by tier.
	Priorities bool `toml:"priorities"`
}

// burstSpec sets another load for a period, in one region or in all. Regions are
// numbered from 1; 0 means all.
type burstSpec struct {
	Load   float64  `toml:"load"`
	From   duration `toml:"from"`
	To     duration `toml:"to"`
	Region int      `toml:"region"`
}

// hotPrefixSpec gives a share of all requests the same prefix of this many tokens.
type hotPrefixSpec struct {
	Share  float64 `toml:"share"`
	Tokens int     `toml:"tokens"`
}

// faultSpec describes a period in which one runner (numbered from 0) is slower by a
// factor, or is down after a crash.
type faultSpec struct {
	Runner int      `toml:"runner"`
	Factor float64  `toml:"factor"`
	From   duration `toml:"from"`
	To     duration `toml:"to"`
}

// loudSpec multiplies the load of one organisation (numbered from 0) for a period.
type loudSpec struct {
	Organisation int      `toml:"organisation"`
	Factor       float64  `toml:"factor"`
	From         duration `toml:"from"`
	To           duration `toml:"to"`
}

// parse decodes a file of cases and rejects unknown keys and invalid values.
func parse(name string, text []byte) (*file, error) {
	f := &file{}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, inputError(name, err)
	}
	if reason := f.check(); reason != "" {
		return nil, fmt.Errorf("measurer: %w", &kingcuphook.InputError{File: name, Reason: reason, Err: kingcuphook.ErrInvalid})
	}
	return f, nil
}

func inputError(name string, err error) error {
	e := &kingcuphook.InputError{File: name, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		e.Line, _ = strict.Errors[0].Position()
		e.Reason = fmt.Sprintf("unknown key %q", strict.Errors[0].Key())
	case errors.As(err, &decode):
		e.Line, _ = decode.Position()
	}
	return fmt.Errorf("measurer: %w", e)
}

// check returns why the file is invalid, or an empty string.
func (f *file) check() string {
	switch {
	case f.Horizon <= 0 || f.Routers <= 0:
		return "horizon and routers must be greater than 0"
	case len(f.Runner.Speeds) == 0 || f.Runner.Batch <= 0 || f.Runner.Chunk <= 0:
		return "runner requires speeds, batch and chunk"
	case f.Runner.StepBase <= 0 || f.Runner.StepSequence <= 0 || f.Runner.StepToken <= 0 || f.Runner.ReportEvery <= 0:
		return "runner requires step-base, step-sequence, step-token and report-every"
	case f.Organisations.Count <= 0:
		return "organisations requires a count"
	case len(f.Classes) == 0 || len(f.Cases) == 0:
		return "at least one class and one case are required"
	}
	for _, speed := range f.Runner.Speeds {
		if speed <= 0 {
			return "every speed must be greater than 0"
		}
	}
	for _, c := range f.Classes {
		if !c.Tier.Valid() || c.Share <= 0 || c.Target <= 0 || c.TokenTarget <= 0 || c.Deadline <= 0 || c.AnswerTokens <= 0 {
			return fmt.Sprintf("class %q requires a tier, share, target, token-target, deadline and answer-tokens", c.Name)
		}
	}
	for _, c := range f.Cases {
		if reason := f.checkCase(&c); reason != "" {
			return fmt.Sprintf("case %q: %s", c.Name, reason)
		}
	}
	return ""
}

func (f *file) checkCase(c *caseSpec) string {
	runners := len(f.Runner.Speeds)
	switch {
	case c.Load <= 0:
		return "load must be greater than 0"
	case c.Straggler != nil && (c.Straggler.Runner < 0 || c.Straggler.Runner >= runners || c.Straggler.Factor < 1):
		return "straggler requires an existing runner and a factor of at least 1"
	case c.Crash != nil && (c.Crash.Runner < 0 || c.Crash.Runner >= runners):
		return "crash requires an existing runner"
	case c.Loud != nil && (c.Loud.Organisation < 0 || c.Loud.Organisation >= f.Organisations.Count || c.Loud.Factor < 1):
		return "loud requires an existing organisation and a factor of at least 1"
	case c.Regions < 0 || c.Regions > min(runners, f.Routers):
		return "regions must not be negative or exceed the number of runners or routers"
	}
	return ""
}

// runner returns the description of the runners with the settings of the case applied.
func (f *file) runner(c *caseSpec) runnerSpec {
	r := f.Runner
	if c.ReportLag > 0 {
		r.ReportLag = c.ReportLag
	}
	if c.EventLag > 0 {
		r.EventLag = c.EventLag
	}
	if c.EventLoss > 0 {
		r.EventLoss = c.EventLoss
	}
	return r
}
