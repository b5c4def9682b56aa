package event

// CallerRefused is logged by the daemon on behalf of the interface for callers.
var CallerRefused = register(Event{
	Number: 2055, Name: "caller-refused", Severity: Info,
	Meaning: "A request was refused before it was routed, such as for an invalid field or an unknown model.",
	Action:  "If one caller causes many, inform it of the reason given.",
})
