package bench

// OutputError reports a result that can't be written.
type OutputError struct {
	What  string
	Cause error
}

var _ error = (*OutputError)(nil)

// Error returns what failed and the cause.
func (e *OutputError) Error() string { return "bench: write " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }
