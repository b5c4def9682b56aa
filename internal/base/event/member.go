package event

// Membership and traffic between daemons.
var (
	PeerRejected = register(Event{
		Number: 5000, Name: "peer-rejected", Severity: Error,
		Meaning:   "A client on the peer address failed to prove knowledge of the shared secret. At most one line a second.",
		PerSecond: 1,
		Action:    "Compare the secrets in the settings of both hosts; if they agree, find out what connects.",
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
		Meaning: "The platform's host list could not be read; gossip from peers is used instead.",
	})
	RequestSuspected = register(Event{
		Number: 5010, Name: "request-suspected",
		Meaning: "An upstream crashed while it ran this request.",
	})
	RequestQuarantined = register(Event{
		Number: 5011, Name: "request-quarantined", Severity: Error,
		Meaning: "A request has crashed upstreams repeatedly and is refused for the quarantine time.",
		Action:  "Inform the caller; report the request to the maintainers of the engine.",
	})
)
