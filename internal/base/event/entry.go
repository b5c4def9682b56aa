package event

// crashLines is the limit on the lines of each event that concerns crash histories. When
// engines crash in a row, histories change some hundred times a second on each daemon, while
// the crash of one engine brings a line for each of its requests here, 16 at most on the
// engines of the deployments.
const crashLines = 20

// Requests on an entry host.
var (
	RequestUnreadable = register(Event{
		Number: 8000, Name: "request-unreadable",
		Meaning:   "A caller's request could not be read or decoded; the response has a 4xx status, or 503 if there was no memory for it. At most one line a second.",
		PerSecond: 1,
	})
	RelayRefused = register(Event{
		Number: 8001, Name: "relay-refused",
		Meaning: "azurespan itself answered a request instead of an upstream. Status 503 states that it did not run; other statuses state nothing. The reason, the time since its arrival and the retry delay are given; if it was refused for its account's allowance, also what it counts for and what this daemon held of the allowance.",
		Action:  "docs/OPERATIONS.md describes how to find the cause from the request's id.",
	})
	RequestQueued = register(Event{
		Number: 8002, Name: "request-waits",
		Meaning: "No upstream can run a request now; it waits in the queue, at the longest until the time given. If one could but for its rate limit, that is named.",
	})
	RelaySent = register(Event{
		Number: 8003, Name: "relay-sent",
		Meaning: "A request was sent to an upstream; the inputs of the choice are given, whether a slot of a contended engine was granted for it, the version of the upstream's software, and for a stream that goes on the last event before and the request that brought the first one.",
	})
	RelayFailed = register(Event{
		Number: 8004, Name: "relay-attempt-failed",
		Meaning: "An attempt ended without a complete response; whether the request may have run is given.",
	})
	RelayEnded = register(Event{
		Number: 8005, Name: "relay-ended",
		Meaning: "A request has ended; the outcome, the time to the first byte, the total time, how the upstream's response ended, the id of the last event, and the versions of the configuration at its start and at its end are given.",
	})
	RetryBudgetUsed = register(Event{
		Number: 8006, Name: "relay-retry-budget-used",
		Meaning: "A request was not retried, because the retry budget of its service is exhausted.",
		Action:  "Find the upstreams whose failures consumed it.",
	})
	CallerWriteFailed = register(Event{
		Number: 8007, Name: "caller-write-failed",
		Meaning: "A response could not be written to its caller, which has disconnected or stopped reading.",
	})
	StreamEndUnproven = register(Event{
		Number: 8017, Name: "stream-end-unproven",
		Meaning: "A response to a request for a stream, with neither a length nor chunks, has ended with its connection after an event; the number and id of that are given.",
		Action:  "Look at the lines that follow: stream-end-checked, and relay-sent with the same event in after if another upstream was asked to go on.",
	})
	StreamEndChecked = register(Event{
		Number: 8018, Name: "stream-end-checked",
		Meaning: "After such an end, whether the upstream's process still runs, so that the stream counts as complete unless another upstream adds to it, is given.",
		Action:  "With outlived=false the stream is resumed where its route allows it, or broken off; cause, or a start (born) other than the registered one, says why.",
	})
	UpstreamSilent = register(Event{
		Number: 8008, Name: "upstream-silent",
		Meaning: "An upstream has sent nothing of a response for the time given. Whether another one can take the request over, and the tokens of the retry budget, are given.",
		Action:  "If the silence ends with upstream-continued, the upstream had only paused; if not, look for its end in the register.",
	})
	UpstreamContinued = register(Event{
		Number: 8009, Name: "upstream-continued",
		Meaning: "An upstream that had been silent goes on with a response; the length of the silence is given.",
	})
	UpstreamIdentified = register(Event{
		Number: 8016, Name: "upstream-identified",
		Meaning: "This daemon's view of the register is old, and an engine was asked when its run started before a part of a stream was sent there. Both starts, the age of the register and a cause, if the engine didn't say, are given. Unless they are the same, the stream goes to another engine, since this one may have another software version.",
		Action:  "If it is frequent, look for log-unreachable and the age of the holder's replies.",
	})
	RelayPanicked = register(Event{
		Number: 8011, Name: "relay-panicked", Severity: Error,
		Meaning: "A component panicked while another upstream was asked to take a request over; the request goes on where it was.",
		Action:  "Report the stack; it is a bug in azurespan.",
	})
	RelayStreamResumed = register(Event{
		Number: 8010, Name: "relay-stream-resumed",
		Meaning: "A caller resumes a stream. The request that brought its first event is given, the software version at which it began, how that is known (known to the daemon, from the log, or the only one there is), and how long it took to find out. Without a version the request is refused.",
	})
	UpstreamPath = register(Event{
		Number: 8012, Name: "upstream-path",
		Meaning: "This daemon's own network path to upstreams counts as lost, since several of them didn't accept its connections and others reach them; or a connection over it was established again. Meanwhile other daemons forward its connections.",
		Action:  "Look for the network between this host and the upstreams; those named by relay-attempt-failed may be sound.",
	})
	ForwardFailed = register(Event{
		Number: 8013, Name: "forward-failed",
		Meaning: "Another daemon was asked to forward a connection to an upstream and didn't, for the cause given.",
	})
	ForwardedHead = register(Event{
		Number: 8015, Name: "forwarded-head-unreadable",
		Meaning: "The head of a response to a forwarded request can't be read, so nothing is learnt from it about the upstream. The daemon that asked gets it as it is.",
	})
	ForwardRefused = register(Event{
		Number: 8014, Name: "forward-refused",
		Meaning:   "This daemon was asked to forward a connection to an upstream and didn't, for the reason given. At most one line a second.",
		PerSecond: 1,
	})
)

// State of the daemon on an entry host, and what it reads from the log.
var (
	EntryStarted = register(Event{
		Number: 8100, Name: "entry-started",
		Meaning: "A daemon on an entry host has started; its settings are given.",
	})
	EntryStopping = register(Event{
		Number: 8101, Name: "entry-stopping",
		Meaning: "The daemon received SIGTERM: it is no longer ready, and finishes the requests in progress.",
	})
	EntryStopped = register(Event{
		Number: 8102, Name: "entry-stopped",
		Meaning: "The daemon has stopped; the number of requests that it cut off is given.",
	})
	EntryReload = register(Event{
		Number: 8103, Name: "entry-reload",
		Meaning: "The settings file was read again.",
	})
	OperatorWriteFailed = register(Event{
		Number: 8105, Name: "operator-write-failed",
		Meaning: "A response to an operator could not be written.",
	})
	EntryReady = register(Event{
		Number: 8104, Name: "entry-ready",
		Meaning: "The result of the readiness check has changed.",
	})
	TopicLost = register(Event{
		Number: 8110, Name: "topic-lost",
		Meaning: "A topic of the log can't be read; the last known state stays in force.",
		Action:  "Check the log service and the network path to it.",
	})
	TopicRecovered = register(Event{
		Number: 8111, Name: "topic-regained",
		Meaning: "A topic of the log can be read again.",
	})
	HistoryDeleted = register(Event{
		Number: 8112, Name: "topic-history-gone",
		Meaning: "The log deleted records before they were read; the newest record of each key is read instead.",
	})
	EraNoticed = register(Event{
		Number: 8115, Name: "log-era",
		Meaning: "The log has come back from an older copy: its answers name another era than before, first the one of the topic given (told: a message of another daemon). The positions that are no longer valid are counted, and the records of this daemon that are compared with the log and written again if they are missing.",
		Action:  "If it wasn't planned, ask the platform's operators. Until the next holder-acquired or holder-changed nobody orders loads.",
	})
	EraInvalid = register(Event{
		Number: 8116, Name: "log-era-invalid", Severity: Error,
		Meaning: "An answer of the log names no valid era, or an older one than a former answer. It isn't used, nor are the following ones until there is a valid one; the last known state stays in force.",
		Action:  "A single one beside log-era is an answer that was under way. If it stays, report it to the platform's operators.",
	})
	RecordTruncated = register(Event{
		Number: 8113, Name: "topic-record-truncated",
		Meaning: "A response of the log ended within a record; the newest record of each key is read instead.",
	})
	EntryConfig = register(Event{
		Number: 8120, Name: "entry-configuration-in-force",
		Meaning: "A version of the operator's configuration has come into force.",
	})
	ConfigRejected = register(Event{
		Number: 8121, Name: "entry-configuration-rejected", Severity: Error,
		Meaning: "A configuration is invalid; the last valid one stays in force.",
		Action:  "Publish a corrected configuration.",
	})
	UpstreamChanged = register(Event{
		Number: 8122, Name: "upstream-changed",
		Meaning: "The register changed the state of an upstream: joined, left, lapsed or returned.",
	})
	OriginsStored = register(Event{
		Number: 8124, Name: "origins-stored",
		Meaning: "A record of the software versions of services was written to the log, or a read or write of the origins of streams failed; they are retried.",
		Action:  "If it recurs, check the log service: a stream can't be resumed at another daemon while it isn't known at which version it began.",
	})
	VersionState = register(Event{
		Number: 8126, Name: "version-state",
		Meaning: "The holder has announced a software version of a service, an upstream of which may serve before long, opened it, so that daemons begin streams there, or forgotten it, because no upstream is registered with it any more. The time since the announcement is given, and the daemons that were not heard and not waited for any longer: streams that began there unrecorded are refused elsewhere.",
	})
	OriginNotAsked = register(Event{
		Number: 8125, Name: "origin-not-asked",
		Meaning: "The holder couldn't be asked for the origin of a stream that a caller resumes; the log is read.",
	})
	RegisterEntryIgnored = register(Event{
		Number: 8123, Name: "register-entry-ignored",
		Meaning: "An entry of the register does not describe a usable upstream.",
	})
)

// The holder of the lease, which is the only daemon that may order loads.
var (
	HolderChanged = register(Event{
		Number: 8200, Name: "holder-changed",
		Meaning: "The holder, the daemon that may order loads, has changed.",
	})
	HolderAcquired = register(Event{
		Number: 8201, Name: "holder-taken",
		Meaning: "This daemon has become the holder and may order loads; the delay before its first order is given.",
	})
	HolderLost = register(Event{
		Number: 8202, Name: "holder-lost",
		Meaning: "This daemon is no longer the holder and may not order loads.",
	})
	HolderContact = register(Event{
		Number: 8203, Name: "holder-contact",
		Meaning: "Contact with the holder, which orders loads, was established or lost.",
	})
	HolderWriteFailed = register(Event{
		Number: 8204, Name: "holder-write-failed",
		Meaning: "A record of who the holder is was not written, or the outcome of the write is unknown.",
	})
	HolderCloseFailed = register(Event{
		Number: 8205, Name: "holder-close-failed",
		Meaning: "The connection to the holder could not be closed cleanly.",
	})
	BulkEncodeFailed = register(Event{
		Number: 8207, Name: "bulk-not-packed", Severity: Error,
		Meaning: "State that is encoded once for all daemons could not be encoded; it is encoded for each daemon separately.",
		Action:  "Report it with the log; control traffic is higher meanwhile.",
	})
	StatePassedOn = register(Event{
		Number: 8208, Name: "state-passed-on",
		Meaning: "The complete state of the holder was asked for at another daemon that has it, because the holder's link is taken; the cause is given if that daemon didn't answer.",
	})
	LogJobDone = register(Event{
		Number: 8206, Name: "holder-errand",
		Meaning: "The holder could not reach the log and made a call to it through another daemon.",
	})
	LoadOrdered = register(Event{
		Number: 8210, Name: "load-ordered",
		Meaning: "An engine was ordered to load or unload a model or adapter; its response is given.",
	})
	ModelShort = register(Event{
		Number: 8212, Name: "model-short",
		Meaning: "A model that requests wait for, or whose copies don't serve its load in time, gets no further copy now, with the reason; at most once a second for each model. load is what isn't served in time, in slots, and unserved the number of waiting requests that no copy can serve.",
		Action:  "See the reasons in OPERATIONS.md, Why a deployment refuses requests.",
	})
	EngineUnresponsive = register(Event{
		Number: 8211, Name: "engine-silent",
		Meaning: "An engine did not report its state.",
	})
	CrashReported = register(Event{
		Number: 8220, Name: "request-crashes-upstreams", PerSecond: crashLines,
		Meaning: "A daemon reported crashes under what requests have in common, or that they were cleared; the number of changed histories is given, and the keys of the first twelve with the crashes known before and after (key=before>after).",
	})
	RequestCrashed = register(Event{
		Number: 8221, Name: "request-crash-observed", PerSecond: crashLines,
		Meaning: "An upstream broke the connection of a request on this daemon; its caller and path, the most crashes that are known of this very request, its attributes as the keys of their crash histories, the one of them that is quarantined and the time since the first byte of its answer are given.",
	})
	SuspectSent = register(Event{
		Number: 8222, Name: "suspect-sent", PerSecond: crashLines,
		Meaning: "A request is sent to an upstream although upstreams have crashed while they ran it; its caller and path, the number of crashes known here, the age of the last information from the holder and its attributes are given.",
		Action:  "Compare with crash-history-changed on the other daemons: who knew of more crashes, and since when?",
	})
	CrashHistoryChanged = register(Event{
		Number: 8223, Name: "crash-history-changed", PerSecond: crashLines,
		Meaning: "The crashes known for what requests have in common have changed by a message from elsewhere; the source and the number of changed histories are given, and the keys of the first twelve with the crashes known before and after (key=before>after).",
	})
	CrashHistoryCleared = register(Event{
		Number: 8224, Name: "crash-history-cleared", PerSecond: crashLines,
		Meaning: "A request has been answered, so the crashes known for its attributes no longer count against them: for those that others share (histories=shared) once the upstream has been answering for a while, for others at the end.",
	})
	QuarantineChanged = register(Event{
		Number: 8228, Name: "quarantine-changed", PerSecond: crashLines,
		Meaning: "The quarantine of an attribute of requests, such as a part of prompts or a path, has begun or ended here; the crashes in its history, those that no other quarantined attribute explains, whether a request with it was answered here recently and whether it was involved in most crashes of its time are given.",
		Action:  "If answered is true, look for the sound requests that are refused: relay-refused with reason=quarantined names the history.",
	})
	TrialBegun = register(Event{
		Number: 8230, Name: "trial-begun",
		Meaning: "A request under which upstreams have crashed, and of which there are repetitions, is sent as the only one of them. Its attributes are given, whether the holder has assigned the trial, whether it assigns any to this daemon and how long the request has waited.",
		Action:  "Several at the same time with assigned=false are from daemons without contact to the holder.",
	})
	TrialEnded = register(Event{
		Number: 8231, Name: "trial-ended",
		Meaning: "The run of a trial has ended: answered, crashed with its upstream, or other. The time since it was sent and the number of suspects that are held back here are given.",
	})
	TrialAssigned = register(Event{
		Number: 8232, Name: "trial-assigned",
		Meaning: "The holder tells a daemon that it may run one request with the attributes given; waiting counts the others that wait for theirs, over all daemons.",
	})
	SuspectContested = register(Event{
		Number: 8233, Name: "suspect-contested",
		Meaning: "The holder has begun or ceased to name an attribute to all daemons, whose requests run one at a time: several runs have ended with their upstreams, or a daemon has asked for a trial. It ceases once such a request is answered.",
		Action:  "If sound requests wait for it (request-waits with reason=crash-suspect), look for the attribute in crash-history-cleared: the answer that ends the suspicion is missing.",
	})
	UpstreamLimit = register(Event{
		Number: 8226, Name: "upstream-limit",
		Meaning: "An upstream named another limit of requests a second, or none any more; the source is the answer to a request, or the holder or a daemon that knew of it.",
	})
	AllowanceUnknown = register(Event{
		Number: 8240, Name: "allowance-unknown",
		Meaning: "A request of an account with an allowance was refused, because the holder didn't answer in time whether the allowance has room.",
		Action:  "If it is frequent, look at the holder and the network path to it.",
	})
	AllowanceLoan = register(Event{
		Number: 8241, Name: "allowance-loan",
		Meaning: "The holder didn't answer in time whether the allowances of accounts have room, and a delegate was asked for requests that wait. The number of accounts that lacked something and of those for which the delegate lent it are given. At most one line a second; azurespan_allowance_loans_total counts all.",
		Action:  "Look at the holder and the network path to it. If little is lent, the accounts use more than the delegates hold.",
	})
	UpstreamNotice = register(Event{
		Number: 8229, Name: "upstream-notice",
		Meaning: "An upstream has said something of itself in an answer: that it is leaving, so that it gets no new requests from this daemon, that it wants none for a time, or whether it is brittle: that it fails once it has to turn more than the given number away in a second. The request is named.",
	})
	UpstreamLimitInvalid = register(Event{
		Number: 8227, Name: "upstream-limit-invalid",
		Meaning: "A header in which an upstream says something of itself, such as its limit, is no number and is ignored.",
		Action:  "Report it to the maintainers of the upstream.",
	})
	QuarantineStored = register(Event{
		Number: 8225, Name: "quarantine-stored", PerSecond: crashLines,
		Meaning: "A host's record of requests that crash upstreams was written to the log or, once it has expired, deleted there; a cause is given if that failed.",
	})
)

// ClientsTurnedAway concerns all listeners of a daemon.
var ClientsTurnedAway = register(Event{
	Number: 8320, Name: "clients-turned-away",
	Meaning: "Clients of a listener were refused or their connections closed, for the reason given; their number since the last such line, the address of the first one, the open connections and the memory taken by the listener's clients are given. At most one line a second for each reason.",
	Action:  "docs/OPERATIONS.md describes the reasons.",
})

// LinesDropped reports lines that the rate limit of the log suppressed.
var LinesDropped = register(Event{
	Number: 8900, Name: "log-lines-dropped",
	Meaning: "The number of lines not written since the last such line: lines of one event above the rate limit, or of all events if the output is blocked (of=output).",
	Action:  "The metrics also count what the log omits.",
})
