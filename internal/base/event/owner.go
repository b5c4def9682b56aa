package event

// Ownership, loads and placement.
var (
	OwnershipAppendFailed = register(Event{
		Number: 3000, Name: "ownership-record-failed", Severity: Error,
		Meaning: "An ownership record could not be appended; it is retried.",
	})
	OwnershipRefused = register(Event{
		Number: 3001, Name: "ownership-record-refused",
		Meaning: "An ownership record was refused, because another daemon took the upstream first or the record came too late.",
	})
	OrderSent = register(Event{
		Number: 3010, Name: "order-sent",
		Meaning: "An order was sent to an engine, with the owner's epoch as fencing number.",
	})
	Loaded = register(Event{
		Number: 3011, Name: "replica-loaded",
		Meaning: "An engine has loaded a model version.",
	})
	LoadFailed = register(Event{
		Number: 3012, Name: "load-failed", Severity: Error,
		Meaning: "A load was refused or failed; the reason is given, and waiting requests try other upstreams.",
		Action:  "If it recurs for one upstream, check the engine; if for all, the weight store.",
	})
	Unloaded = register(Event{
		Number: 3013, Name: "replica-unloaded",
		Meaning: "An engine has unloaded a model version that was idle for the time given.",
	})
	UnloadFailed = register(Event{
		Number: 3014, Name: "unload-failed", Severity: Error,
		Meaning: "An unload or the release of its grant failed; it is retried.",
	})
	AdapterLoaded = register(Event{
		Number: 3015, Name: "adapter-loaded",
		Meaning: "An engine has loaded an adapter.",
	})
	ReportFailed = register(Event{
		Number: 3020, Name: "reports-failed", Severity: Error,
		Meaning: "An engine did not respond to several polls and is considered dead.",
		Action:  "Replace the upstream's host or remove it from the configuration.",
	})
	WakeStarted = register(Event{
		Number: 3030, Name: "wake-started",
		Meaning: "A model without a reachable replica is being loaded; the upstream and the reason are given.",
	})
	WakeRefused = register(Event{
		Number: 3031, Name: "wake-refused",
		Meaning: "No replica can be loaded; the reason is given.",
		Action:  "If replica-elsewhere or no-capacity persists, raise the replica limit or add memory.",
	})
)

// CoordinatorFailed concerns loads on demand.
var CoordinatorFailed = register(Event{
	Number: 3032, Name: "coordinator-failed", Severity: Error,
	Meaning: "The daemon that coordinates the loads of a model did not respond; this daemon coordinates the load itself.",
})

// ModelDue concerns loads ahead of demand.
var ModelDue = register(Event{
	Number: 3033, Name: "model-due",
	Meaning: "A model is loaded ahead of its first request, at its wake-at time or because it regularly has requests at this hour.",
})
