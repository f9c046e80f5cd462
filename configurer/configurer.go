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

// environmentPrefix is the prefix of the variables that override settings; for
// example, KINGCUPHOOK_LISTEN_CALLERS overrides callers in [listen].
const environmentPrefix = "KINGCUPHOOK_"

// Configurer loads settings.
type Configurer struct {
	// File is the path of the settings file.
	File string
	// LookupEnv returns the value of an environment variable and whether it is set;
	// nil means os.LookupEnv.
	LookupEnv func(name string) (string, bool)
}

// Load reads the settings from File and the environment, and validates them. Errors
// are of type *kingcuphook.InputError.
func (c *Configurer) Load() (*Settings, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, c.inputError(0, err.Error())
	}
	return c.Parse(text)
}

// Parse reads the settings from text and the environment, and validates them. Errors
// are of type *kingcuphook.InputError.
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
		return nil, c.inputError(lineOf(text, "operators.token-file"), err.Error())
	}
	if p := s.firstProblem(); p != nil {
		return nil, c.inputError(lineOf(text, p.key), p.key+": "+p.reason)
	}
	return &s, nil
}

// inputError returns a *kingcuphook.InputError for the file of settings.
func (c *Configurer) inputError(line int, reason string) error {
	return &kingcuphook.InputError{File: c.File, Line: line, Reason: reason, Err: kingcuphook.ErrInvalid}
}

// decodeError converts an error of the TOML decoder.
func (c *Configurer) decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return c.inputError(line, fmt.Sprintf("unknown key %q", strings.Join(first.Key(), ".")))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return c.inputError(line, decode.Error())
	}
	return c.inputError(0, err.Error())
}

// override sets each field of v to the value of its environment variable, if that
// is set. Prefix is the prefix of the variables of v.
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

// overrideField sets a field to the value of an environment variable, if that is set.
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

// setField parses text and sets the field to its value.
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
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		field.SetFloat(n)
	default:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		field.SetInt(n)
	}
	return nil
}

// readToken sets Token from TokenFile, if that is given.
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
