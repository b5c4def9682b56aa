package event

// The control stream and the configuration.
var (
	ConfigInForce = register(Event{
		Number: 6000, Name: "configuration-in-force",
		Meaning: "This daemon has put a published configuration into force.",
	})
	RecordApplied = register(Event{
		Number: 6001, Name: "record-applied",
		Meaning: "A control record changed ownership or grants.",
	})
	RecordRefused = register(Event{
		Number: 6002, Name: "record-refused",
		Meaning: "A control record violated a rule and has no effect on any daemon; the reason is given.",
		Action:  "For a publication: publish again on top of the version in force.",
	})
	RecordSkipped = register(Event{
		Number: 6003, Name: "record-skipped", Severity: Error,
		Meaning: "A record of the log can't be decoded and is skipped by all daemons.",
		Action:  "Find out which program wrote it to the control stream.",
	})
	LogReachable = register(Event{
		Number: 6010, Name: "log-reachable",
		Meaning: "The log service responds.",
	})
	LogUnreachable = register(Event{
		Number: 6011, Name: "log-unreachable", Severity: Error,
		Meaning: "The log service does not respond; until it does, there are no takeovers, grants, publications or new non-idempotent requests.",
		Action:  "Contact the operators of the platform; loaded models are still served.",
	})
	AppendAmbiguous = register(Event{
		Number: 6012, Name: "append-ambiguous", Severity: Error,
		Meaning: "The response to an append was lost; the record is appended again, which is harmless.",
	})
	ControlReady = register(Event{
		Number: 6013, Name: "control-stream-ready",
		Meaning: "The control stream has been read to its end.",
	})
	SnapshotInstalled = register(Event{
		Number: 6014, Name: "snapshot-installed",
		Meaning: "The state was restored from a snapshot in the stream or from a peer.",
	})
	RecordsFromPeer = register(Event{
		Number: 6015, Name: "records-from-peer",
		Meaning: "Control records were read from a peer, because the log can't be reached.",
	})
)

// SnapshotFailed concerns the control stream.
var SnapshotFailed = register(Event{
	Number: 6016, Name: "snapshot-failed", Severity: Error,
	Meaning: "A snapshot could not be appended; it is retried.",
	Action:  "If it lasts longer than the log's retention, new daemons can only start from peers.",
})
