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
	// Horizon is how long requests arrive; Drain is how long they may still run.
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

// runnerSpec describes the runners.
type runnerSpec struct {
	StepBase     duration `toml:"step-base"`
	StepSequence duration `toml:"step-sequence"`
	StepToken    duration `toml:"step-token"`
	// Batch bounds the running requests, Chunk the prompt tokens of one step.
	Batch       int      `toml:"batch"`
	Chunk       int      `toml:"chunk"`
	CacheTokens int      `toml:"cache-tokens"`
	ReportEvery duration `toml:"report-every"`
	ReportLag   duration `toml:"report-lag"`
	EventLag    duration `toml:"event-lag"`
	// EventLoss is the share of cache events that never arrive.
	EventLoss float64 `toml:"event-loss"`
	// Speeds has the speed of every runner.
	Speeds []float64 `toml:"speeds"`
}

// organisationsSpec describes the callers.
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
	// PrefixTokens are shared by the requests of an organisation.
	PrefixTokens   int `toml:"prefix-tokens"`
	QuestionTokens int `toml:"question-tokens"`
	// AnswerTokens is the mean length; AnswerSpread is the standard deviation
	// of its logarithm.
	AnswerTokens int     `toml:"answer-tokens"`
	AnswerSpread float64 `toml:"answer-spread"`
	// AnswerMax is the bound that the caller sets; 0 means none.
	AnswerMax int `toml:"answer-max"`
}

// caseSpec is one case. Zero values leave the common ones.
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
	// Priorities says that the runners order their own queue by tier.
	Priorities bool `toml:"priorities"`
}

// burstSpec raises the load for a while, in one region (from 1) or in all (0).
type burstSpec struct {
	Load   float64  `toml:"load"`
	From   duration `toml:"from"`
	To     duration `toml:"to"`
	Region int      `toml:"region"`
}

// hotPrefixSpec gives a share of all requests the same prefix.
type hotPrefixSpec struct {
	Share  float64 `toml:"share"`
	Tokens int     `toml:"tokens"`
}

// faultSpec makes one runner (from 0) slower by a factor, or crash.
type faultSpec struct {
	Runner int      `toml:"runner"`
	Factor float64  `toml:"factor"`
	From   duration `toml:"from"`
	To     duration `toml:"to"`
}

// loudSpec multiplies the load of one organisation (from 0).
type loudSpec struct {
	Organisation int      `toml:"organisation"`
	Factor       float64  `toml:"factor"`
	From         duration `toml:"from"`
	To           duration `toml:"to"`
}

// parse reads a file of cases and refuses unknown keys and impossible values.
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

// check returns what is wrong with the file, or nothing.
func (f *file) check() string {
	switch {
	case f.Horizon <= 0 || f.Routers <= 0:
		return "horizon and routers must be above 0"
	case len(f.Runner.Speeds) == 0 || f.Runner.Batch <= 0 || f.Runner.Chunk <= 0:
		return "runner needs speeds, batch and chunk"
	case f.Runner.StepBase <= 0 || f.Runner.StepSequence <= 0 || f.Runner.StepToken <= 0 || f.Runner.ReportEvery <= 0:
		return "runner needs step-base, step-sequence, step-token and report-every"
	case f.Organisations.Count <= 0:
		return "organisations needs a count"
	case len(f.Classes) == 0 || len(f.Cases) == 0:
		return "at least one class and one case are needed"
	}
	for _, speed := range f.Runner.Speeds {
		if speed <= 0 {
			return "every speed must be above 0"
		}
	}
	for _, c := range f.Classes {
		if !c.Tier.Valid() || c.Share <= 0 || c.Target <= 0 || c.TokenTarget <= 0 || c.Deadline <= 0 || c.AnswerTokens <= 0 {
			return fmt.Sprintf("class %q needs a tier, share, target, token-target, deadline and answer-tokens", c.Name)
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
		return "load must be above 0"
	case c.Straggler != nil && (c.Straggler.Runner < 0 || c.Straggler.Runner >= runners || c.Straggler.Factor < 1):
		return "straggler needs a known runner and a factor of at least 1"
	case c.Crash != nil && (c.Crash.Runner < 0 || c.Crash.Runner >= runners):
		return "crash needs a known runner"
	case c.Loud != nil && (c.Loud.Organisation < 0 || c.Loud.Organisation >= f.Organisations.Count || c.Loud.Factor < 1):
		return "loud needs a known organisation and a factor of at least 1"
	case c.Regions < 0 || c.Regions > min(runners, f.Routers):
		return "there are more regions than runners or routers"
	}
	return ""
}

// runner returns the runners' description with the changes of the case.
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
