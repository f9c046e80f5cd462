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

// callTimeout limits one call to the operators' API.
const callTimeout = 30 * time.Second

// client calls the operators' API of one router.
type client struct {
	commands *commands.Client
	queries  *queries.Client
	token    string
}

// newClient returns a client for the router, token and TLS settings in the global
// options.
func newClient() (*client, error) {
	token := globalOptions.Token
	if globalOptions.TokenFile != "" {
		text, err := os.ReadFile(globalOptions.TokenFile)
		if err != nil {
			return nil, &kingcuphook.InputError{File: globalOptions.TokenFile, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, fmt.Errorf("no token: set --token-file or KINGCUPHOOK_TOKEN: %w", kingcuphook.ErrInvalid)
	}
	scheme := "http"
	httpClient := &http.Client{Timeout: callTimeout}
	if globalOptions.TLS {
		scheme = "https"
		cfg, err := clientTLS(globalOptions.Authority)
		if err != nil {
			return nil, err
		}
		httpClient.Transport = &http.Transport{TLSClientConfig: cfg}
	}
	enc, dec := goahttp.RequestEncoder, goahttp.ResponseDecoder
	c := commandsclient.NewClient(scheme, globalOptions.API, httpClient, enc, dec, false)
	q := queriesclient.NewClient(scheme, globalOptions.API, httpClient, enc, dec, false)
	return &client{
		commands: commands.NewClient(c.Apply(), c.Patch(), c.Rollback(), c.Lift()),
		queries:  queries.NewClient(q.Table(), q.History(), q.Outcome(), q.Diff(), q.Status(), q.Explain(), q.Quarantine()),
		token:    token,
	}, nil
}

// clientTLS returns the TLS settings of the client. The file authority holds the
// certificates to trust; if it is empty, the system's authorities are trusted.
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

// apiError is an error response of the operators' API.
type apiError struct {
	// message is the message of the response.
	message string
	// err is the sentinel error for the name of the response.
	err error
}

// Error implements error.
func (e *apiError) Error() string { return e.message }

// Unwrap returns the sentinel error.
func (e *apiError) Unwrap() error { return e.err }

// sentinelsByName maps the error names of the API to sentinel errors.
var sentinelsByName = map[string]error{
	"invalid":      kingcuphook.ErrInvalid,
	"unauthorized": kingcuphook.ErrInvalid,
	"conflict":     kingcuphook.ErrConflict,
	"unavailable":  kingcuphook.ErrUnavailable,
	"unknown":      kingcuphook.ErrOutcomeUnknown,
	"not-found":    kingcuphook.ErrNotFound,
}

// namedError is an error of the generated client that has a name.
type namedError interface {
	error
	GoaErrorName() string
}

// convertError converts an error of the generated client into one that wraps a
// sentinel error. Without a declared error response, a command that mutates state
// may have taken effect, so that its outcome is unknown.
func convertError(err error, mutates bool) error {
	var c *commands.Problem
	if errors.As(err, &c) {
		return &apiError{message: c.Message, err: sentinelsByName[c.Name]}
	}
	var q *queries.Problem
	if errors.As(err, &q) {
		return &apiError{message: q.Message, err: sentinelsByName[q.Name]}
	}
	if mutates {
		return fmt.Errorf("%w: %w", kingcuphook.ErrOutcomeUnknown, err)
	}
	var n namedError
	if errors.As(err, &n) {
		return err
	}
	return fmt.Errorf("%w: %w", kingcuphook.ErrUnavailable, err)
}

// callContext returns a context with the timeout for one call.
func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
