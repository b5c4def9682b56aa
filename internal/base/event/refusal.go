package event

// CallerRefused is written by the daemon on behalf of the caller interface.
var CallerRefused = register(Event{
	Number: 2055, Name: "caller-refused", Severity: Info,
	Meaning: "A request was refused before it was routed, such as for an invalid field or an unknown model.",
	Action:  "If one caller causes many, tell it the reason that is given.",
})
