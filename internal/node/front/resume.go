package front

import (
	"context"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// ResumeStream handles GET /v1/streams/{request-id}. It streams the tokens after
// the one that the event ID in the request refers to.
func (s *Server) ResumeStream(ctx context.Context, params oas.ResumeStreamParams) (oas.ResumeStreamRes, error) {
	x := exchangeFromContext(ctx)
	text, ok := params.LastEventID.Get()
	if !ok {
		if text, ok = params.After.Get(); !ok {
			return nil, fieldErrorf(headerLastEventID, "is missing; give it as a header or as the query parameter after")
		}
	}
	pos, err := s.signer.parse(text)
	if err != nil {
		return nil, err
	}
	if pos.requestID != params.RequestID {
		return nil, fieldErrorf("request-id", "differs from the request of the event id")
	}
	if config := s.backend.Config(); config != nil {
		if err := x.authorize(config, upstreamServices(config, pos.upstream)); err != nil {
			// The event ID proves that the request ran.
			return nil, withRunYes(toFault(ctx, err))
		}
	}
	from := pos.index + 1
	stream, err := s.openResumed(ctx, x, pos, from)
	if err != nil {
		// The event ID proves that the request ran.
		return nil, withRunYes(toFault(ctx, err))
	}
	return &oas.ResumeStreamOK{Data: x.startEvents(stream, newChunkEncoder(s.signer, pos.requestID, "", creationTime(pos.requestID), from))}, nil
}

// openResumed opens the stream of a resumed response. from is the index of its
// first token.
func (s *Server) openResumed(ctx context.Context, x *exchange, pos streamPosition, from int64) (*tokenStream, error) {
	// Event IDs do not carry the class of the request.
	x.class = declare.Urgent
	if err := x.acquireStreamSlot(); err != nil {
		return nil, err
	}
	deadline := x.received.Add(declare.DefaultUrgentDeadline)
	return x.openStream(ctx, deadline, from, func() (calls.Stream, error) {
		return s.backend.Resume(ctx, pos.requestID, pos.upstream, from)
	})
}

// creationTime returns the Unix time in seconds from a request identifier, so
// that it is the same in every part of a resumed response. It returns 0 for an
// identifier that is not a ULID.
func creationTime(id string) int64 {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return 0
	}
	return ulid.Time(u.Time()).Unix()
}
