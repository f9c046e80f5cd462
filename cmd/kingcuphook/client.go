package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/commands"
	commandsclient "github.com/kingcuphook/kingcuphook/gen/http/commands/client"
	queriesclient "github.com/kingcuphook/kingcuphook/gen/http/queries/client"
	"github.com/kingcuphook/kingcuphook/gen/queries"
)

// callTimeout bounds one call of the operators' API.
const callTimeout = 30 * time.Second

// client calls the operators' API of one router.
type client struct {
	commands *commands.Client
	queries  *queries.Client
	token    string
}

// newClient returns a client as the global options say.
func newClient() (*client, error) {
	token := global.Token
	if global.TokenFile != "" {
		text, err := os.ReadFile(global.TokenFile)
		if err != nil {
			return nil, &kingcuphook.InputError{File: global.TokenFile, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, fmt.Errorf("no token: set --token-file or KINGCUPHOOK_TOKEN: %w", kingcuphook.ErrInvalid)
	}
	scheme := "http"
	doer := &http.Client{Timeout: callTimeout}
	if global.TLS {
		scheme = "https"
		cfg, err := clientTLS(global.Authority)
		if err != nil {
			return nil, err
		}
		doer.Transport = &http.Transport{TLSClientConfig: cfg}
	}
	enc, dec := goahttp.RequestEncoder, goahttp.ResponseDecoder
	c := commandsclient.NewClient(scheme, global.API, doer, enc, dec, false)
	q := queriesclient.NewClient(scheme, global.API, doer, enc, dec, false)
	return &client{
		commands: commands.NewClient(c.Apply(), c.Patch(), c.Rollback(), c.Lift()),
		queries:  queries.NewClient(q.Table(), q.History(), q.Outcome(), q.Diff(), q.Status(), q.Explain(), q.Quarantine()),
		token:    token,
	}, nil
}

// clientTLS returns the TLS settings of the client; the file of the authority may
// be empty.
func clientTLS(authority string) (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if authority == "" {
		return cfg, nil
	}
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, &kingcuphook.InputError{File: authority, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(text) {
		return nil, &kingcuphook.InputError{File: authority, Reason: "holds no certificate in PEM", Err: kingcuphook.ErrInvalid}
	}
	return cfg, nil
}

// callError is an error that the operators' API named.
type callError struct {
	// message is what the API said.
	message string
	// err is the sentinel of its name.
	err error
}

// Error implements error.
func (e *callError) Error() string { return e.message }

// Unwrap returns the sentinel.
func (e *callError) Unwrap() error { return e.err }

// sentinels are the errors that the API names.
var sentinels = map[string]error{
	"invalid":      kingcuphook.ErrInvalid,
	"unauthorized": kingcuphook.ErrInvalid,
	"conflict":     kingcuphook.ErrConflict,
	"unavailable":  kingcuphook.ErrUnavailable,
	"unknown":      kingcuphook.ErrOutcomeUnknown,
	"not-found":    kingcuphook.ErrNotFound,
}

// named is an error of the generated client that has a name.
type named interface {
	error
	GoaErrorName() string
}

// explainError turns an error of the generated client into one with a sentinel.
// A command without a known answer may have taken effect.
func explainError(err error, changes bool) error {
	var c *commands.Problem
	if errors.As(err, &c) {
		return &callError{message: c.Message, err: sentinels[c.Name]}
	}
	var q *queries.Problem
	if errors.As(err, &q) {
		return &callError{message: q.Message, err: sentinels[q.Name]}
	}
	if changes {
		return fmt.Errorf("%w: %w", kingcuphook.ErrOutcomeUnknown, err)
	}
	var n named
	if errors.As(err, &n) {
		return err
	}
	return fmt.Errorf("%w: %w", kingcuphook.ErrUnavailable, err)
}

// bounded returns a context for one call.
func bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
