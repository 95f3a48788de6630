package admin

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	gen "github.com/boragelane/boragelane/gen/admin"
	"github.com/boragelane/boragelane/internal/core/plan"
	"github.com/boragelane/boragelane/internal/core/spec"
	"github.com/boragelane/boragelane/internal/ctrl/commit"
	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// commitTimeout bounds the commit of a change to the platform's store.
const commitTimeout = 10 * time.Second

// Host gives the API access to an entry host's state and commits changes.
type Host interface {
	Plan() *plan.Plan
	Status(ctx context.Context) (state.Status, bool)
	Commit(ctx context.Context, ch spec.Change, expect *uint64) (spec.Document, error)
	Explain(job *pipe.Job)
}

// Service implements the generated service interface.
type Service struct {
	Host Host
}

// GetConfig returns the configuration document that this host has in force.
func (s *Service) GetConfig(context.Context) (*gen.Document, error) {
	doc := s.Host.Plan().Doc
	if doc == nil {
		return nil, newFailure("unavailable", "this host has no configuration yet")
	}
	return fromDocument(*doc), nil
}

// ChangeConfig commits a set of edits and returns the new document.
func (s *Service) ChangeConfig(ctx context.Context, c *gen.Change) (*gen.Document, error) {
	ch, err := toChange(c)
	if err != nil {
		return nil, newFailure("invalid", err.Error())
	}
	return s.commit(ctx, ch, &c.Expect)
}

// AddDrain stops new work from going to an upstream, host, failure domain or region.
func (s *Service) AddDrain(ctx context.Context, p *gen.AddDrainPayload) (*gen.Document, error) {
	return s.commit(ctx, spec.Change{Drains: []spec.Drain{{Kind: p.Kind, Name: p.Name}}}, p.Expect)
}

// RemoveDrain removes a drain, so that its target receives new work again.
func (s *Service) RemoveDrain(ctx context.Context, p *gen.RemoveDrainPayload) (*gen.Document, error) {
	return s.commit(ctx, spec.Change{Remove: []spec.Ref{{Kind: p.Kind, Name: p.Name}}}, p.Expect)
}

func (s *Service) commit(ctx context.Context, ch spec.Change, expect *uint64) (*gen.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	doc, err := s.Host.Commit(ctx, ch, expect)
	if err != nil {
		return nil, apiError(err)
	}
	return fromDocument(doc), nil
}

// apiError maps an error of a commit to the API's error type.
func apiError(err error) error {
	switch {
	case errorx.IsOfType(err, commit.ErrConflict):
		current, _ := errorx.ExtractProperty(err, commit.CurrentRevision)
		rev, _ := current.(uint64)
		return &gen.Conflict{Name: "conflict", Message: err.Error(), Current: rev}
	case errorx.IsOfType(err, commit.ErrInvalid):
		return newFailure("invalid", err.Error())
	case errorx.IsOfType(err, commit.ErrMissing):
		return newFailure("missing", err.Error())
	}
	return newFailure("unavailable", err.Error())
}

func newFailure(name, message string) *gen.Failure { return &gen.Failure{Name: name, Message: message} }

// GetStatus returns the host's control state.
func (s *Service) GetStatus(ctx context.Context) (*gen.Status, error) {
	st, ok := s.Host.Status(ctx)
	if !ok {
		return nil, newFailure("unavailable", "this host is stopping")
	}
	return fromStatus(st), nil
}

// ExplainRoute reports which targets this host would choose for a request, and why, without running it.
func (s *Service) ExplainRoute(_ context.Context, p *gen.ExplainRoutePayload) (*gen.Explanation, error) {
	job := &pipe.Job{Service: p.Service, Method: "GET", Path: "/"}
	if p.Rank != nil {
		job.Rank = *p.Rank
	}
	if p.Caller != nil {
		job.Caller = *p.Caller
	}
	s.Host.Explain(job)
	out := &gen.Explanation{Rank: job.Rank, Once: job.Once, Choices: []*gen.Choice{}}
	if job.Plan.Doc != nil {
		out.Revision = job.Plan.Doc.Revision
	}
	if job.Ended() {
		out.Outcome = string(job.Outcome.Reason) + ": " + job.Outcome.Detail
	}
	for _, t := range job.Targets {
		out.Choices = append(out.Choices, &gen.Choice{Seat: t.Seat, Domain: t.Domain, Region: t.Region, Reason: t.Reason})
	}
	return out, nil
}
