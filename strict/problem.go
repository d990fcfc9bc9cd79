package strict

import (
	"fmt"
	"strings"
)

// Problem is an error in a settings file.
type Problem struct {
	file  string
	line  int
	field string
	text  string
}

// File returns the file name that was passed to Decode.
func (p Problem) File() string { return p.file }

// Line returns the line of the problem, counted from 1.
func (p Problem) Line() int { return p.line }

// Field returns the path of the field, such as "lease.renew". The path is empty
// for a problem of the whole document.
func (p Problem) Field() string { return p.field }

// Text returns the message, which gives the invalid value and what is allowed.
func (p Problem) Text() string { return p.text }

// Error returns the problem as "file:line: field: text", without the field when
// its path is empty.
func (p Problem) Error() string {
	if p.field == "" {
		return fmt.Sprintf("%s:%d: %s", p.file, p.line, p.text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.field, p.text)
}

// Problems lists the problems of a settings file, sorted by line.
type Problems []Problem

// Error returns the problems as text, one line each.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
