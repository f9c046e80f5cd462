package receiver

import (
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forecaster"
)

// Description describes a call that is not sent.
type Description struct {
	// Route is the name of the route. If it is empty, the route is that of Host and Path.
	Route, Host, Path string
	// Class is the class of the call, by which routes are matched by package server only.
	Class string
	// Organisation is the name of the caller's organisation; empty means none.
	Organisation string
	// Bytes is the length of the body.
	Bytes int
	// Body is the body, which only package server reads; empty if unknown.
	Body []byte
	// Labels are the properties that the headers of the call would give. The API key is not used.
	Labels kingcuphook.CallLabels
}

var (
	// ErrNoTables means that the router has no tables yet.
	ErrNoTables = errors.New("router has no tables yet")
	// ErrNoRoute means that no route matches.
	ErrNoRoute = errors.New("no such route")
	// ErrNoOrganisation means that the tables have no such organisation.
	ErrNoOrganisation = errors.New("no such organisation")
)

// Describe returns the request that a call would become that came now, and its route. If the call would be
// refused before it is dispatched, refused is that error.
func (s *Receiver) Describe(now time.Time, d Description) (r *kingcuphook.Request, route *kingcuphook.Route, refused *kingcuphook.RequestError, err error) {
	directory := s.Directory()
	tables := directory.Tables
	if tables == nil {
		return nil, nil, nil, ErrNoTables
	}
	route, err = findRoute(tables, d)
	if err != nil {
		return nil, nil, nil, err
	}
	organisation, err := findOrganisation(tables, d.Organisation)
	if err != nil {
		return nil, nil, nil, err
	}
	deadline := now.Add(callTimeout(d.Labels, route))
	f := s.newFields(d.Labels, route, organisation, now, deadline)
	f.Bytes, f.Pool = d.Bytes, poolFor(route, f.ID)
	return kingcuphook.NewRequest(f), route, s.refusalOf(d, route, directory, deadline), nil
}

// refusalOf returns the refusal of a call by accept; nil if there is none.
func (s *Receiver) refusalOf(d Description, route *kingcuphook.Route, directory Directory, deadline time.Time) *kingcuphook.RequestError {
	if s.closed.Load() {
		return errStopping
	}
	if directory.Tables.RequiresAPIKey() && !route.Public() && d.Organisation == "" {
		return errNoKey
	}
	forecast := forecaster.Call{Route: route.Name(), PromptTokens: d.Labels.PromptTokens, MaxTokens: d.Labels.MaxTokens}
	if err := s.stopCalls().Check(forecast, deadline); err != nil {
		return lateForStop(err)
	}
	if int64(d.Bytes) > bodyLimit(directory.MaxBodyBytes) {
		return errTooLarge
	}
	return nil
}

func findRoute(t *kingcuphook.Tables, d Description) (*kingcuphook.Route, error) {
	if d.Class != "" || len(d.Body) > 0 {
		return nil, fmt.Errorf("receiver: this router matches no classes and reads no bodies: %w", kingcuphook.ErrInvalid)
	}
	if d.Route == "" {
		if route := t.MatchHost(d.Host, d.Path); route != nil {
			return route, nil
		}
		return nil, fmt.Errorf("%w: host %q, path %q", ErrNoRoute, d.Host, d.Path)
	}
	return RouteNamed(t, d.Route)
}

// RouteNamed returns the route of a name. The error wraps ErrNoRoute if there is none.
func RouteNamed(t *kingcuphook.Tables, name string) (*kingcuphook.Route, error) {
	for _, route := range t.Routes() {
		if route.Name() == name {
			return route, nil
		}
	}
	return nil, fmt.Errorf("%w: %q", ErrNoRoute, name)
}

func findOrganisation(t *kingcuphook.Tables, name string) (kingcuphook.Organisation, error) {
	if name == "" {
		return kingcuphook.Organisation{}, nil
	}
	for _, o := range t.Organisations() {
		if o.Name == name {
			return o, nil
		}
	}
	return kingcuphook.Organisation{}, fmt.Errorf("%w: %q", ErrNoOrganisation, name)
}
