package fleet

import "time"

type (
	// AllowanceAsk is a daemon's question to the holder for allowances of
	// accounts.
	AllowanceAsk struct {
		// ID identifies the question, 0 if there is none.
		ID uint64
		// Answered is the ID of the last question that was answered, and Since
		// the time since the answer came, on a clock that counts suspensions.
		Answered uint64
		Since    time.Duration
		// Share is the share that the daemon holds.
		Share float64
		// Wants are what the daemon lacks, by account.
		Wants map[string]Want
	}

	// Want is what a daemon lacks of an account's allowance: Need for requests
	// that wait, of which the smallest counts for Least, and Reserve for later
	// ones.
	Want struct{ Need, Least, Reserve float64 }

	// AllowanceReply is the holder's answer to an AllowanceAsk.
	AllowanceReply struct {
		// ID is that of the question.
		ID uint64
		// Share is the daemon's share of the allowances from now on.
		Share float64
		// Grants are what the daemon may use, by account.
		Grants map[string]Grant
	}

	// Grant is what a daemon may use of an account's allowance.
	Grant struct {
		// Need and Reserve are parts of those wanted.
		Need, Reserve float64
		// Wait is the time until more of what is needed can be granted, 0 if
		// all was.
		Wait time.Duration
	}
)
