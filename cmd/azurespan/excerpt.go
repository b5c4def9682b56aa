package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
)

// logExcerpt holds the lines of logs that belong to one request or model.
type logExcerpt struct {
	Lines []string `json:"lines"`
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

func (s *logExcerpt) writeText(w io.Writer) {
	for _, l := range s.Lines {
		// A failed write to standard output can't be handled.
		_, _ = fmt.Fprintln(w, l)
	}
}

// explainFiles reads the logs of daemons on entry hosts, with - for standard
// input, and returns the lines about the request or model of o.
func explainFiles(o options, in io.Reader) (commandResult, error) {
	field := "request=\"" + o.request + "\""
	if o.request == "" {
		field = "model=\"" + o.model + "\""
	}
	s := &logExcerpt{}
	for _, path := range o.logFiles {
		err := readLines(path, in, func(line string) {
			if strings.Contains(line, field) {
				s.Lines = append(s.Lines, line)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	if len(s.Lines) == 0 {
		return s, &refusedError{detail: "no line about it in the given logs; another daemon may have handled it"}
	}
	return s, nil
}

// readLines calls add for each line of a file, - for standard input.
func readLines(path string, in io.Reader, add func(line string)) (err error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return &refusedError{detail: err.Error()}
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		in = f
	}
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		add(sc.Text())
	}
	return merry.Wrap(sc.Err())
}
