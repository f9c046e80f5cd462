package configurer

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/kingcuphook/kingcuphook"
)

// environmentPrefix starts the names of the variables that override settings:
// KINGCUPHOOK_LISTEN_CALLERS stands for callers in [listen].
const environmentPrefix = "KINGCUPHOOK_"

// Configurer reads settings.
type Configurer struct {
	// File is the path of the settings.
	File string
	// LookupEnv returns a variable of the environment; nil means os.LookupEnv.
	LookupEnv func(name string) (string, bool)
}

// Load reads and validates the settings. Its error is a *kingcuphook.InputError.
func (c *Configurer) Load() (*Settings, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, c.refuse(0, err.Error())
	}
	return c.Parse(text)
}

// Parse reads settings from text and the environment, and validates them.
func (c *Configurer) Parse(text []byte) (*Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, c.decodeError(err)
	}
	if err := c.override(reflect.ValueOf(&s).Elem(), environmentPrefix); err != nil {
		return nil, err
	}
	if err := s.readToken(); err != nil {
		return nil, c.refuse(lineOf(text, "operators.token-file"), err.Error())
	}
	if p := s.problem(); p != nil {
		return nil, c.refuse(lineOf(text, p.key), p.key+": "+p.reason)
	}
	return &s, nil
}

func (c *Configurer) refuse(line int, reason string) error {
	return &kingcuphook.InputError{File: c.File, Line: line, Reason: reason, Err: kingcuphook.ErrInvalid}
}

func (c *Configurer) decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return c.refuse(row, fmt.Sprintf("unknown key %q", strings.Join(first.Key(), ".")))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return c.refuse(row, decode.Error())
	}
	return c.refuse(0, err.Error())
}

// override sets every field of v for which the environment has a value.
func (c *Configurer) override(v reflect.Value, prefix string) error {
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("toml")
		name := prefix + strings.ToUpper(strings.ReplaceAll(tag, "-", "_"))
		field := v.Field(i)
		if field.Kind() == reflect.Struct {
			if err := c.override(field, name+"_"); err != nil {
				return err
			}
			continue
		}
		if err := c.overrideField(field, name); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configurer) overrideField(field reflect.Value, name string) error {
	lookup := c.LookupEnv
	if lookup == nil {
		lookup = os.LookupEnv
	}
	text, ok := lookup(name)
	if !ok {
		return nil
	}
	if err := setField(field, text); err != nil {
		return &kingcuphook.InputError{File: "environment", Reason: name + ": " + err.Error(), Err: kingcuphook.ErrInvalid}
	}
	return nil
}

func setField(field reflect.Value, text string) error {
	if d, ok := field.Addr().Interface().(*Duration); ok {
		return d.UnmarshalText([]byte(text))
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is not true or false", text)
		}
		field.SetBool(b)
	default:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		field.SetInt(n)
	}
	return nil
}

// readToken fills Token from TokenFile.
func (s *Settings) readToken() error {
	if s.Operators.TokenFile == "" {
		return nil
	}
	if s.Operators.Token != "" {
		return errors.New("operators.token and operators.token-file are both set")
	}
	text, err := os.ReadFile(s.Operators.TokenFile)
	if err != nil {
		return fmt.Errorf("operators.token-file: %w", err)
	}
	s.Operators.Token = strings.TrimSpace(string(text))
	return nil
}
