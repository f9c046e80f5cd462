package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/kingcuphook/kingcuphook/gen/commands"
	"github.com/kingcuphook/kingcuphook/gen/queries"
)

type statusCommand struct{}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	s, err := cl.queries.Status(ctx, &queries.StatusPayload{Token: &cl.token})
	if err != nil {
		return convertError(err, false)
	}
	fmt.Fprintf(stdout, "router %s, region %s, data centre %s\n", s.Address, s.Region, s.DataCentre)
	fmt.Fprintf(stdout, "ready %t, revision %d, store %s, open requests %d\n\n", s.Ready, s.Revision, s.Store, s.OpenRequests)
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTER\tREGION\tDATA CENTRE\tSTATE\tREVISION")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.Address, m.Region, m.DataCentre, m.State, m.Revision)
	}
	fmt.Fprintln(w, "\nPOOL\tWAITING")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\n", p.Name, p.Waiting)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tPOOL\tREGION\tRUNNING\tQUEUED\tREPORT AGE\tLEAVING")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%t\n", u.Address, u.Pool, u.Region, formatCount(u.Running), formatCount(u.Queued), formatAge(u.ReportAgeSeconds), u.Leaving != nil && *u.Leaving)
	}
	return w.Flush()
}

func formatCount(n *int) string {
	if n == nil {
		return "-"
	}
	return fmt.Sprint(*n)
}

func formatAge(seconds *float64) string {
	if seconds == nil {
		return "-"
	}
	return fmt.Sprintf("%.1fs", *seconds)
}

type explainCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" description:"Identifier of the request, as in X-Request-Id"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	e, err := cl.queries.Explain(ctx, &queries.ExplainPayload{Token: &cl.token, RequestID: c.Args.ID})
	if err != nil {
		return convertError(err, false)
	}
	outcome := e.Outcome
	if outcome == "" {
		outcome = "in progress"
	}
	fmt.Fprintf(stdout, "request %s: class %s, organisation %s, tier %d\n", e.RequestID, e.Class, e.Organisation, e.Tier)
	fmt.Fprintf(stdout, "route %s, pool %s, outcome %s\n\n", e.Route, e.Pool, outcome)
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tSTEP\tUPSTREAM\tDETAIL")
	for _, s := range e.Steps {
		fmt.Fprintf(w, "%.1fms\t%s\t%s\t%s\n", s.AtMs, s.Name, stringOrEmpty(s.Upstream), stringOrEmpty(s.Detail))
	}
	return w.Flush()
}

func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

type quarantineCommand struct {
	Lift string `long:"lift" description:"Fingerprint whose quarantine is lifted"`
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	if c.Lift != "" {
		err := cl.commands.Lift(ctx, &commands.LiftPayload{Token: &cl.token, Fingerprint: c.Lift})
		if err != nil {
			return convertError(err, true)
		}
		return nil
	}
	list, err := cl.queries.Quarantine(ctx, &queries.QuarantinePayload{Token: &cl.token})
	if err != nil {
		return convertError(err, false)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tSTATE\tUNTIL")
	for _, q := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\n", q.Fingerprint, q.State, stringOrEmpty(q.Until))
	}
	return w.Flush()
}
