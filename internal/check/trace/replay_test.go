package trace

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestGolden guards against a core whose outcomes differ from those in the
// traces, and against a replay that ignores an expected outcome: each "expect" is
// changed in turn, and Replay must report a difference at its line.
func TestGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			b, err := os.ReadFile(file)
			must.NoError(t, err)
			var out strings.Builder
			must.NoError(t, Replay(bytes.NewReader(b), &out))
			must.StrContains(t, out.String(), "no difference")
			lines := strings.Split(strings.TrimSpace(string(b)), "\n")
			for i, l := range lines {
				wrong := l
				switch {
				case strings.Contains(l, `"expect":["`):
					wrong = strings.Replace(l, `"expect":["`, `"expect":["not-`, 1)
				case strings.Contains(l, `"expect":"`):
					wrong = strings.Replace(l, `"expect":"`, `"expect":"not-`, 1)
				default:
					continue
				}
				changed := append(append(append([]string{}, lines[:i]...), wrong), lines[i+1:]...)
				err := Replay(strings.NewReader(strings.Join(changed, "\n")), &out)
				var d *Difference
				must.True(t, errors.As(err, &d), must.Sprintf("line %d: %v", i+1, err))
				must.Eq(t, i+1, d.Line)
			}
		})
	}
}

// TestStateAndFormat guards against fields of a state event that are not
// compared, and against invalid lines that are accepted.
func TestStateAndFormat(t *testing.T) {
	for _, l := range []string{
		`{"event":"state","version":1}`, `{"event":"state","owners":{"u":"h/1@2"}}`, `{"event":"state","replicas":{"m":1}}`,
		`{"event":"state","reserved-bytes":{"u":1}}`, `{"event":"state","formers":{"u":1}}`,
	} {
		var d *Difference
		must.True(t, errors.As(Replay(strings.NewReader(l), &strings.Builder{}), &d), must.Sprint(l))
	}
	for _, l := range []string{
		`x`, `{}`, `{"event":"x"}`, `{"event":"state","verison":1}`, `{"event":"query","stream":"claims-01","key":"01KBS35CG00000000000000007"}`,
		`{"event":"control","offset":1,"record":{"type":"x"},"expect":"accepted"}`,
	} {
		var f *FormatError
		must.True(t, errors.As(Replay(strings.NewReader("\n"+l), &strings.Builder{}), &f), must.Sprint(l))
		must.Eq(t, 2, f.Line)
	}
}

// TestEmptyTrace guards against a file without events that is reported as a trace
// without a difference.
func TestEmptyTrace(t *testing.T) {
	var f *FormatError
	must.True(t, errors.As(Replay(strings.NewReader("\n# nothing\n"), &strings.Builder{}), &f))
}

// TestEncodeDecode guards against events that Decode does not return as they were
// encoded.
func TestEncodeDecode(t *testing.T) {
	version := uint64(3)
	for _, e := range []Event{
		Snapshot{}, State{Version: &version}, Reader{Stream: "claims-01", Oldest: 1, End: 1},
		Control{Offset: 1, Record: []byte(`{"type":"host-gone"}`), Expect: "accepted"},
		Claims{Stream: "claims-01", Offset: 2, Records: []byte(`[]`), Expect: []string{"accepted"}},
		Query{Stream: "claims-01", Expect: "free"},
	} {
		b, err := Encode(e)
		must.NoError(t, err)
		got, err := Decode(b)
		must.NoError(t, err)
		must.Eq(t, e, got)
	}
}
