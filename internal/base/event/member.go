package event

// Events of membership and of traffic between daemons.
var (
	PeerRejected = register(Event{
		Number: 5000, Name: "peer-rejected", Severity: Error,
		Meaning: "A connection to the peer address did not prove that it knows the shared secret.",
		Action:  "Compare the secret in the settings of both hosts; otherwise find out who connects.",
	})
	DaemonStatus = register(Event{
		Number: 5001, Name: "daemon-status",
		Meaning: "Another daemon became alive, suspect, leaving or dead.",
	})
	UpstreamStatus = register(Event{
		Number: 5002, Name: "upstream-status",
		Meaning: "An upstream became alive, slow, leaving or dead.",
		Action:  "For dead: replace the upstream's host or remove it from the configuration.",
	})
	HostListFailed = register(Event{
		Number: 5003, Name: "host-list-unavailable", Severity: Error,
		Meaning: "The platform's host list could not be read; facts from peers are used instead.",
	})
	RequestSuspected = register(Event{
		Number: 5010, Name: "request-suspected",
		Meaning: "An upstream died while this request ran on it.",
	})
	RequestQuarantined = register(Event{
		Number: 5011, Name: "request-quarantined", Severity: Error,
		Meaning: "A request has crashed upstreams repeatedly and is refused for a while.",
		Action:  "Tell the caller; report the request to the engine's maintainers.",
	})
)
