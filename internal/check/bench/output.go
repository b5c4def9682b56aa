package bench

// WriteError reports that a result could not be written.
type WriteError struct {
	What  string
	Cause error
}

var _ error = (*WriteError)(nil)

// Error returns the result that could not be written and the cause.
func (e *WriteError) Error() string { return "bench: write " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }
