package front

import (
	"fmt"
	"strings"

	"github.com/azurespan/azurespan/internal/base/fault"
)

// Refusal documents a fault kind for clients.
type Refusal struct {
	Kind  fault.Kind
	Title string
	// Run lists the values of the member run that occur with the kind.
	Run string
	// Meaning states when the refusal is sent.
	Meaning string
	// ClientAction states what the client should do.
	ClientAction string
}

// Refusals lists all kinds of refusal in their order in docs/refusals.md.
var Refusals = []Refusal{
	{fault.BadRequest, "Bad request", "no", "A header, parameter or body field is invalid; the member field names it.", "Correct the request."},
	{fault.BodyTooLarge, "Body too large", "no", "The body is larger than the daemon accepts.", "Send a smaller body."},
	{fault.UnknownModel, "Unknown model", "no", "The configuration has no model or adapter of this name.", "Choose a name from GET /v1/models."},
	{fault.UnknownAdapter, "Unknown adapter", "no", "The configuration has no adapter of this name for the model.", "Choose a name from GET /v1/models."},
	{fault.UnknownService, "Unknown service", "no", "The configuration has no such service, or the service has no such call.", "Correct the path or the method."},
	{fault.UnknownStream, "Unknown stream", "yes, unknown", "The response can't be resumed: its upstream no longer holds it.", "Send the original request again."},
	{fault.Unauthorized, "Unauthorized", "no, yes", "The request needs the key of a client account, and the configuration has no account with the one that was sent; or an operator's call needs the deployment's secret.", "Send a key that holds, as Authorization: Bearer KEY."},
	{fault.ConfigurationAge, "Configuration age", "no, yes", "The daemon can't know whether the request's key holds, because it doesn't reach the log.", "Retry after the given time, preferably at another daemon."},
	{fault.DeadlinePassed, "Deadline passed", "no, yes, unknown", "The deadline passed before the response started or, if it is not streamed, before it was complete.", "Send the request again with a later deadline; for a call that must not run twice, with the same key."},
	{fault.DeadlineUnreachable, "Deadline unreachable", "no", "The request can't be served before its deadline.", "Retry after the given time, or with a later deadline."},
	{fault.QueueFull, "Queue full", "no", "The daemon has reached its limit of requests, streams or connections.", "Retry after the given time, preferably at another daemon."},
	{fault.ReplicaElsewhere, "Replica elsewhere", "no", "The only replicas of the model are in failure domains that can't be reached now.", "Retry after the given time, preferably in another failure domain."},
	{fault.NoCapacity, "No capacity", "no", "No upstream has room for the model now.", "Retry after the given time."},
	{fault.LogUnavailable, "Log unavailable", "no", "The request needs a record in the log, which can't be reached.", "Retry after the given time."},
	{fault.UpstreamUnavailable, "Upstream unavailable", "no, yes, unknown", "The upstream could not be reached, or its response was interrupted.", "If run is no, retry. Otherwise resume the stream, or send the request again with the same key."},
	{fault.UpstreamInvalid, "Upstream invalid", "yes, unknown", "The upstream's response violated its protocol.", "Retry; report it if it happens again."},
	{fault.RequestQuarantined, "Request quarantined", "yes", "The request crashed the upstreams that ran it.", "Don't send the same request again before the given time."},
	{fault.KeyRequired, "Key required", "no", "The call must not run twice and needs an Idempotency-Key.", "Send a new ULID or UUIDv7 as the key."},
	{fault.KeyExpired, "Key expired", "unknown", "The time in the key is too far in the past or in the future to tell whether the key was used.", "Find out whether the earlier call ran; use a new key for a new call."},
	{fault.KeyMismatch, "Key mismatch", "no", "The key was used for a different request.", "Use a new key for a new call."},
	{fault.KeyInProgress, "Key in progress", "yes, unknown", "A call with this key is running.", "Retry with the same key after the given time."},
	{fault.OutcomeUnknown, "Outcome unknown", "unknown", "A call with this key was started and its outcome is not known; it is never run again.", "Find out from the service whether the call took effect."},
	{fault.AnswerNotKept, "Answer not kept", "yes", "A call with this key was run; its response was longer than the 1 KiB that is kept.", "Treat the call as completed; read its result from the service."},
	{fault.NotOwner, "Owner changing", "no", "The upstream or the key's partition is changing its owner. Clients see it only in the detail of another refusal.", "Retry after the given time."},
	{fault.Draining, "Draining", "no", "The daemon is shutting down.", "Retry at another daemon."},
	{fault.NotReady, "Not ready", "no", "The daemon has no configuration yet.", "Retry after the given time, or at another daemon."},
	{fault.VersionConflict, "Version conflict", "no", "Another configuration was published first.", "Operators only: publish again on top of the accepted version."},
	{fault.Internal, "Internal error", "no, yes, unknown", "azurespan failed with an error that no other kind covers.", "Retry if run is no or the call is idempotent; report it."},
}

// refusalTitle returns the title of a kind, or the kind itself if it is not listed.
func refusalTitle(k fault.Kind) string {
	for i := range Refusals {
		if Refusals[i].Kind == k {
			return Refusals[i].Title
		}
	}
	return string(k)
}

// RefusalsPage returns the text of docs/refusals.md.
func RefusalsPage() string {
	var b strings.Builder
	b.WriteString(refusalsPageHeader)
	for _, r := range Refusals {
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s |\n", r.Kind, fault.New(r.Kind, "").Status(), r.Run, r.Meaning, r.ClientAction)
	}
	return b.String()
}

const refusalsPageHeader = `# Refusals

A request that is refused or fails gets a problem document (RFC 9457), content type ` + "`application/problem+json`" + `, as its response. This page is generated from the table in ` + "`internal/node/front`" + `.

| member | meaning |
|---|---|
| type | ` + "`urn:azurespan:refusal:<kind>`" + `; ` + "`about:blank`" + ` for a path (404) or a method (405) that does not exist |
| title, status, detail | as in RFC 9457 |
| instance | ` + "`urn:azurespan:request:<request identifier>`" + ` |
| run | whether an upstream ran the request: no, yes or unknown; "no" is guaranteed. For a resumption it refers to the original request |
| field | the invalid header, parameter or body field, if there is one |
| error | message, type and code (the kind), in the form that OpenAI clients read |

The header ` + "`Retry-After`" + ` gives whole seconds, rounded up, with jitter. Without it, a retry of the unchanged request does not help.

When a streamed response is aborted after its start, the last event is ` + "`event: error`" + ` with the problem document as its data. The connection is then closed without ` + "`data: [DONE]`" + ` and without the end of the HTTP body. The client resumes with ` + "`GET /v1/streams/{request-id}`" + ` and the ID of the last event received as ` + "`Last-Event-ID`" + `.

| kind | status | run | meaning | what the client does |
|---|---|---|---|---|
`
