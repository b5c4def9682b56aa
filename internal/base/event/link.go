package event

// The engine client.
var (
	TokenRepeated = register(Event{
		Number: 2900, Name: "engine-token-repeated",
		Meaning: "An engine sent a token of a stream again; repeated tokens are dropped. Logged once per stream.",
	})
)
