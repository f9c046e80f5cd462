package router

import (
	"context"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/commander"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/discarder"
	"github.com/kingcuphook/kingcuphook/gen/commands"
	commandsserver "github.com/kingcuphook/kingcuphook/gen/http/commands/server"
	queriesserver "github.com/kingcuphook/kingcuphook/gen/http/queries/server"
	"github.com/kingcuphook/kingcuphook/gen/queries"
	"github.com/kingcuphook/kingcuphook/gossiper"
	"github.com/kingcuphook/kingcuphook/hasher"
	"github.com/kingcuphook/kingcuphook/historian"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/reporter"
)

// acceptTimeout limits how long an operator's request waits for the control loop
// after an edit, and for other routers to receive that a quarantine was lifted.
const acceptTimeout = time.Second

// maxOperatorBodyBytes limits the request body of the operators' API.
const maxOperatorBodyBytes = 32 << 20

// operatorsHandler returns the handler of the operators' API.
func (r *Router) operatorsHandler() http.Handler {
	token := r.Settings.Operators.Token
	commandService := &commander.Commander{
		Editor: r.editor,
		Lifter: r,
		Token:  token,
		Log:    r.Log,
	}
	commandEndpoints := commands.NewEndpoints(commandService)
	queryEndpoints := queries.NewEndpoints(&reporter.Reporter{
		Source:    r,
		Recorder:  r.recorder,
		Historian: &historian.Historian{Store: r.platform},
		Token:     token,
	})
	mux := goahttp.NewMuxer()
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	commandsserver.Mount(mux, commandsserver.New(commandEndpoints, mux, dec, enc, nil, nil))
	queriesserver.Mount(mux, queriesserver.New(queryEndpoints, mux, dec, enc, nil, nil))
	return requireToken(http.MaxBytesHandler(mux, maxOperatorBodyBytes), commandService)
}

// tokenHeader is the header of the operators' token.
const tokenHeader = "X-Operator-Token"

// requireToken refuses requests with a body but without the operators' token before their body is
// read. The endpoints verify the token only after that.
func requireToken(next http.Handler, service *commander.Commander) http.Handler {
	encode := commandsserver.EncodeApplyError(goahttp.ResponseEncoder, nil)
	var discards discarder.Discarder
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithoutCancel(r.Context()) // it ends if reading the body times out
		_, err := service.APIKeyAuth(ctx, r.Header.Get(tokenHeader), nil)
		if r.ContentLength == 0 || err == nil {
			next.ServeHTTP(w, r)
			return
		}
		discards.Refuse(ctx, w, r, err, func() { _ = encode(ctx, w, err) })
	})
}

// accept applies an edit accepted by this router before the operator
// receives the reply, so that the operator's next request uses it.
func (r *Router) accept(s *differ.Snapshot) {
	r.follower.ApplyEdit(s)
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	_ = r.control.call(ctx, r.control.applyTables)
}

// Tables implements reporter.Source.
func (r *Router) Tables() *kingcuphook.Tables { return r.follower.Tables() }

// Explain implements reporter.Source.
func (r *Router) Explain(req *kingcuphook.Request) []kingcuphook.Candidate {
	return r.allocator.Explain(req)
}

// Quarantine implements reporter.Source.
func (r *Router) Quarantine() []*queries.Quarantined {
	entries := r.quarantine.List(time.Now())
	list := make([]*queries.Quarantined, 0, len(entries))
	for _, e := range entries {
		state := "suspect"
		if e.Quarantined() {
			state = "quarantined"
		}
		list = append(list, &queries.Quarantined{
			Fingerprint: hasher.Format(e.Fingerprint()),
			State:       state,
		})
	}
	for _, e := range r.isolator.List(time.Now()) {
		if e.State() != isolator.StateLifted {
			list = append(list, &queries.Quarantined{Fingerprint: isolator.FormatPart(e.Part()), State: partStatePrefix + string(e.State())})
		}
	}
	return list
}

// partStatePrefix tells the states of prompt parts from those of bodies.
const partStatePrefix = "part-"

// Lift implements commander.Lifter.
func (r *Router) Lift(fingerprint uint64) bool {
	now := time.Now()
	body, part := r.quarantine.Lift(now, fingerprint), r.isolator.Lift(now, fingerprint)
	if !body && !part {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	r.shareSuspects(ctx)
	return true
}

// Status implements reporter.Source.
func (r *Router) Status() *queries.StatusReport {
	v := r.control.view.Load()
	tables := r.follower.Tables()
	s := &queries.StatusReport{
		Address:      r.PeersAddress(),
		Region:       r.Settings.Node.Region,
		DataCentre:   r.Settings.Node.DataCentre,
		Ready:        r.Ready(),
		Revision:     tables.Revision(),
		OpenRequests: r.server.Open(),
		Store:        "available",
	}
	if r.follower.StoreFailing() {
		s.Store = "unavailable"
	}
	for _, m := range v.members {
		s.Members = append(s.Members, &queries.Member{
			HeardSeconds: secondsSinceMessage(m),
			Address:      m.Address(),
			Region:       m.Region(),
			DataCentre:   m.DataCentre(),
			State:        memberState(m),
			Revision:     m.Revision(),
		})
	}
	for _, p := range tables.Pools() {
		s.Pools = append(s.Pools, &queries.PoolStatus{Name: p.Name(), Waiting: r.allocator.Queued(p.Name())})
		for _, u := range p.Upstreams() {
			s.Upstreams = append(s.Upstreams, upstreamStatus(p, u, v))
		}
	}
	return s
}

// secondsSinceMessage returns the seconds since the last message from a member
// itself, or nil if there was none.
func secondsSinceMessage(m gossiper.Member) *float64 {
	if m.LastHeard().IsZero() {
		return nil
	}
	age := time.Since(m.LastHeard()).Seconds()
	return &age
}

// stateUnreachable is shown for an alive member in a region that can't be reached.
const stateUnreachable = "unreachable"

func memberState(m gossiper.Member) string {
	if m.State() == gossiper.StateAlive && !m.Reachable() {
		return stateUnreachable
	}
	return string(m.State())
}

func upstreamStatus(p *kingcuphook.Pool, u *kingcuphook.Upstream, v *view) *queries.UpstreamStatus {
	s := &queries.UpstreamStatus{Pool: p.Name(), Address: u.Address(), Region: u.Region()}
	leaving := u.Leaving() || v.leaving[u.Address()]
	if l, ok := v.reports[u.Address()]; ok {
		running, queued := l.Running(), l.Queued()
		age := time.Since(l.Made()).Seconds()
		leaving = leaving || l.Leaving()
		s.Running, s.Queued, s.ReportAgeSeconds = &running, &queued, &age
	}
	s.Leaving = &leaving
	return s
}
