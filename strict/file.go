package strict

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

const (
	// MaxFileBytes is the maximum size of a settings file in bytes.
	MaxFileBytes = 64 << 10
	// maxProblems is the maximum number of problems reported for one file.
	maxProblems = 64
	// maxNesting is the maximum nesting depth of flow collections and of block
	// entries on one line. The YAML parser recurses once per level.
	maxNesting = 64
)

// File is a decoded settings file with its problems. It stores the line of each
// field, so that a later validation of values can report problems by line too.
type File struct {
	name string
	// lines maps a field path such as "lease.renew" to its line.
	lines    map[string]int
	readable bool
	problems Problems
}

// Decode decodes the YAML document in data into the struct that dst points to.
// Problems give name as the file name. Fields that are absent from the document
// keep their values. Err returns the problems found.
func Decode(name string, data []byte, dst any) *File {
	f := &File{name: name, lines: map[string]int{"": 1}}
	if len(data) > MaxFileBytes {
		f.Reject("", "%d bytes, at most %d allowed", len(data), MaxFileBytes)
		return f
	}
	body, ok := f.parse(data)
	if ok {
		f.readable = true
		b := binder{file: f}
		b.bind("", body, reflect.ValueOf(dst).Elem())
	}
	return f
}

// TopLevelFields returns the top-level keys of the YAML document in data, or nil when
// data exceeds MaxFileBytes or is not a single document that holds a mapping.
func TopLevelFields(data []byte) []string {
	if len(data) > MaxFileBytes {
		return nil
	}
	f := &File{lines: map[string]int{"": 1}}
	body, ok := f.parse(data)
	if !ok {
		return nil
	}
	var found []string
	for _, entry := range (binder{file: f}).entries("", body, reflect.TypeFor[struct{}]()) {
		name, _ := keyOf(entry.Key)
		found = append(found, name)
	}
	return found
}

// IsReadable reports whether the file parsed as a single YAML document. If it did
// not, no values were decoded and validating them is pointless.
func (f *File) IsReadable() bool { return f.readable }

// Reject records a problem with the field at a path such as "lease.renew" or
// "places[2]", unless the field has a problem already. The empty path stands for
// the whole document and can have several problems. A field that is absent from
// the document is reported at the line of its nearest enclosing field.
func (f *File) Reject(field, format string, args ...any) {
	known := func(p Problem) bool { return p.field == field }
	if field != "" && slices.ContainsFunc(f.problems, known) {
		return
	}
	f.add(f.line(field), field, fmt.Sprintf(format, args...))
}

// HasField reports whether the document contains the field at a path.
func (f *File) HasField(field string) bool {
	_, ok := f.lines[field]
	return ok
}

// Err returns the recorded problems as Problems, sorted by line, or nil when there
// are none.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(f.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return cmp.Compare(a.line, b.line) })
	return sorted
}

// add records a problem. Problems beyond maxProblems are dropped.
func (f *File) add(line int, field, text string) {
	if len(f.problems) >= maxProblems {
		return
	}
	f.problems = append(f.problems, Problem{file: f.name, line: max(1, line), field: field, text: text})
}

// line returns the line of a field, or of its nearest enclosing field when the
// document does not contain it.
func (f *File) line(field string) int {
	for {
		if line, ok := f.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
}

// parse parses data and returns the body of its single document. Returns false
// after recording a problem when data is not valid.
func (f *File) parse(data []byte) (body ast.Node, ok bool) {
	if line, deep := exceedsNesting(data); deep {
		f.add(line, "", fmt.Sprintf("nested more than %d levels deep", maxNesting))
		return nil, false
	}
	// The parser is third-party code and its input is not validated yet, so a
	// panic is reported as a problem of the file.
	defer func() {
		if r := recover(); r != nil {
			f.add(1, "", fmt.Sprintf("not readable as YAML: %v", r))
			body, ok = nil, false
		}
	}()
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		f.add(syntaxLine(err), "", "not readable as YAML: "+syntaxText(err))
		return nil, false
	}
	return f.document(file)
}

// document returns the body of the single non-empty document. Documents that are
// empty or hold only comments are skipped.
func (f *File) document(file *ast.File) (ast.Node, bool) {
	var body ast.Node
	for _, doc := range file.Docs {
		switch {
		case doc == nil || doc.Body == nil:
		case doc.Body.Type() == ast.CommentType:
		case body == nil:
			body = doc.Body
		default:
			f.add(lineOf(doc.Body), "", "second document, one allowed in a file")
			return nil, false
		}
	}
	if body == nil {
		f.Reject("", "empty, a mapping of fields is needed")
		return nil, false
	}
	return body, true
}

// exceedsNesting scans data before it is parsed and returns the first line that exceeds
// the nesting limit: more than maxNesting open brackets, more than maxNesting
// block indicators at the start of a line, or more than 4*maxNesting spaces of
// indentation.
func exceedsNesting(data []byte) (int, bool) {
	line, open, dashes := 1, 0, 0
	indent, start := 0, true
	for _, c := range data {
		switch c {
		case '\n':
			line++
			dashes, indent, start = 0, 0, true
			continue
		case ' ':
			if start {
				indent++
			}
			continue
		case '[', '{':
			open++
		case ']', '}':
			open = max(0, open-1)
		case '-', '?', ':':
			dashes++
		}
		start = start && (c == '-' || c == '?')
		if open > maxNesting || start && dashes > maxNesting || start && indent > 4*maxNesting {
			return line, true
		}
	}
	return 0, false
}

// syntaxLine returns the line given by a parser error, or 1 when it has none.
func syntaxLine(err error) int {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil && e.GetToken().Position != nil {
		return e.GetToken().Position.Line
	}
	return 1
}

// syntaxText returns the message of a parser error without its source excerpt.
func syntaxText(err error) string {
	var e yaml.Error
	if errors.As(err, &e) {
		return e.GetMessage()
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	return first
}

// lineOf returns the line of a node, or 1 when the node has no position.
func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}
