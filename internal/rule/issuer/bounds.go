package issuer

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Settings are the bounds of a deployment: what is used of an account's
	// allowance in any Window must not exceed it times 1 + Overshoot, plus
	// Slack.
	Settings struct {
		Window           time.Duration
		Overshoot, Slack float64
	}

	// Bounds are the limits for one account that follow from the Settings.
	Bounds struct {
		// Bucket is what the holder saves, and Reserve what all daemons together
		// do.
		Bucket, Reserve float64
		// GrantTTL is the time from a question within which what is granted
		// must be used.
		GrantTTL time.Duration
	}
)

const (
	// FillDelay is the time from a daemon's last question after which it adds to
	// its reserves by itself.
	FillDelay = 1300 * time.Millisecond
	// ShareTTL is the time from the last question that was answered after which
	// a daemon has neither share nor reserves. It is longer than the time until a
	// successor of a lost holder answers: 3.6 s, and 1 s until all daemons are in contact.
	ShareTTL = 5 * time.Second
	// bucketPart is the part of what may be saved that the holder saves.
	bucketPart = 0.6
)

// Most returns the most that may be used of an allowance in a Window.
func (s Settings) Most(a fleet.Allowance) float64 {
	return (a.PerSecond*s.Window.Seconds()+a.Burst)*(1+s.Overshoot) + s.Slack
}

// Bounds returns the limits for an account.
func (s Settings) Bounds(a fleet.Allowance) Bounds {
	saved := a.Burst*(1+s.Overshoot) + s.Slack
	b := Bounds{Bucket: bucketPart * saved, Reserve: (1 - bucketPart) * saved, GrantTTL: time.Duration(s.Overshoot * float64(s.Window))}
	least := 1.0
	if a.Tokens {
		least = a.PlainTokens
	}
	if b.Bucket < least {
		// The holder alone can save enough for a request.
		b.Bucket, b.Reserve = saved, 0
	}
	return b
}
