package entry

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/origin"
)

// holderView is what this daemon knows of the holder.
type holderView struct{ entry *Entry }

// Holds reports whether this daemon is the holder.
func (v holderView) Holds() bool {
	_, holds := v.entry.elector.Holds()
	return holds
}

// LastReply returns the time of the holder's last reply.
func (v holderView) LastReply() time.Time { return v.entry.relay.LastReply() }

// Origin asks the holder for the origin of a stream.
func (v holderView) Origin(ctx context.Context, id uint64) (origin.Stream, bool, error) {
	return v.entry.syncer.Origin(ctx, id)
}

// VersionState returns what the loader has decided about versions.
func (v holderView) VersionState() (origin.State, bool) { return v.entry.loader.VersionState() }

// VersionStateWritten tells the loader that the log has its state of versions.
func (v holderView) VersionStateWritten(s origin.State) { v.entry.loader.VersionStateWritten(s) }

// storeEstimate is the loader's estimate. It refers to the Entry because the
// loader is created after the elector.
type storeEstimate struct{ entry *Entry }

// StoreAtOnce returns the loader's estimate.
func (e storeEstimate) StoreAtOnce() float64 { return e.entry.loader.StoreAtOnce() }

// SetStoreAtOnce passes a previous holder's estimate to the loader.
func (e storeEstimate) SetStoreAtOnce(storeAtOnce float64) {
	e.entry.loader.SetStoreAtOnce(storeAtOnce)
}

// Shares returns the largest share of allowances that each daemon may hold.
func (e storeEstimate) Shares() map[string]float64 { return e.entry.loader.Shares() }

// SetShares passes those of a previous holder's record to the loader.
func (e storeEstimate) SetShares(shares map[string]float64) { e.entry.loader.SetShares(shares) }

// SharesRecorded tells the loader which record is the newest.
func (e storeEstimate) SharesRecorded(shares map[string]float64) {
	e.entry.loader.SharesRecorded(shares)
}
