package front

import (
	"context"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// ResumeStream answers GET /v1/streams/{request-id} with the tokens after the
// one that the caller names.
func (f *Server) ResumeStream(ctx context.Context, params oas.ResumeStreamParams) (oas.ResumeStreamRes, error) {
	x := exchangeOf(ctx)
	text, ok := params.LastEventID.Get()
	if !ok {
		if text, ok = params.After.Get(); !ok {
			return nil, badField(fieldEventID, "is missing; give it as a header or as the query parameter after")
		}
	}
	p, err := f.signer.parse(text)
	if err != nil {
		return nil, err
	}
	if p.request != params.RequestID {
		return nil, badField("request-id", "differs from the request of the event id")
	}
	from := p.index + 1
	a, err := f.resume(ctx, x, p, from)
	if err != nil {
		// The event id proves that the request ran.
		return nil, ranFault(faultOf(ctx, err))
	}
	return &oas.ResumeStreamOK{Data: x.start(a, newChunker(f.signer, p.request, "", createdOf(p.request), from))}, nil
}

func (f *Server) resume(ctx context.Context, x *exchange, p place, from int64) (*answer, error) {
	// The class of the request is not part of its event ids.
	x.class = declare.Urgent
	if err := x.takeSlot(); err != nil {
		return nil, err
	}
	deadline := x.received.Add(declare.DefaultUrgentDeadline)
	return x.begin(ctx, deadline, from, func() (calls.Stream, error) {
		return f.backend.Resume(ctx, p.request, p.upstream, from)
	})
}

// createdOf returns the Unix time of a request identifier in seconds, which is
// the same in every part of a resumed answer.
func createdOf(id string) int64 {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return 0
	}
	return ulid.Time(u.Time()).Unix()
}
