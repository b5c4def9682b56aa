package event

// Events of claims partitions.
var (
	PartitionAcquired = register(Event{
		Number: 4000, Name: "claims-partition-taken",
		Meaning: "This daemon owns a claims partition and answers claim requests for it.",
	})
	PartitionLost = register(Event{
		Number: 4001, Name: "claims-partition-lost",
		Meaning: "Another daemon has taken a claims partition that this daemon owned.",
	})
	ClaimsUnreadable = register(Event{
		Number: 4002, Name: "claims-stream-unreadable", Severity: Error,
		Meaning: "A claims stream can't be read. Non-idempotent requests with keys in the partition are refused.",
		Action:  "Check the log service and the network path to it.",
	})
	ClaimsRecordSkipped = register(Event{
		Number: 4003, Name: "claims-record-skipped", Severity: Error,
		Meaning: "A claims record can't be decoded and is skipped by all daemons.",
		Action:  "Find out which program wrote to the stream.",
	})
	ClaimsGap = register(Event{
		Number: 4004, Name: "claims-gap",
		Meaning: "Records of a claims stream were dropped before this daemon read them. The partition's state is read again from the oldest record.",
	})
	ClaimAbandoned = register(Event{
		Number: 4005, Name: "claim-abandoned",
		Meaning: "A claim was refused at its deadline while its record may be in the log. The claim is withdrawn when the log accepts records.",
	})
)
