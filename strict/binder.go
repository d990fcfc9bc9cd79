package strict

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Defaulter is implemented by map value types whose default differs from the
// zero value. Decode calls SetDefaults on each map value before it decodes the
// fields of the entry; the method must have a pointer receiver.
type Defaulter interface {
	SetDefaults()
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// binder decodes YAML nodes into Go values by reflection and records problems in
// file.
type binder struct {
	file *File
}

// reject records a problem at the line of node for the field at path.
func (b binder) reject(node ast.Node, path, format string, args ...any) {
	b.file.add(lineOf(node), path, fmt.Sprintf(format, args...))
}

// bind decodes node into dst by the type of dst. A missing or null value is a
// problem.
func (b binder) bind(path string, node ast.Node, dst reflect.Value) {
	if _, null := node.(*ast.NullNode); null || node == nil {
		b.file.Reject(path, "no value, %s allowed", describeType(dst.Type()))
		return
	}
	switch dst.Type() {
	case durationType:
		b.bindDuration(path, node, dst)
		return
	case sizeType:
		b.bindSize(path, node, dst)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		b.bindStruct(path, node, dst)
	case reflect.Map:
		b.bindMap(path, node, dst)
	case reflect.Slice:
		b.bindSlice(path, node, dst)
	case reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		b.bind(path, node, dst.Elem())
	case reflect.String, reflect.Bool:
		b.bindStringOrBool(path, node, dst)
	default:
		b.bindNumber(path, node, dst)
	}
}

// entries returns the key-value pairs of a mapping and records the line of each
// key. Duplicate keys and keys that are not plain scalars are reported as
// problems and left out.
func (b binder) entries(path string, node ast.Node, dst reflect.Type) []*ast.MappingValueNode {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		b.reject(node, path, "%s, %s allowed", describeNode(node), describeType(dst))
		return nil
	}
	seen := map[string]int{}
	kept := make([]*ast.MappingValueNode, 0, len(values))
	for _, v := range values {
		key, ok := keyOf(v.Key)
		if !ok {
			b.reject(v.Key, path, "key %s, a plain name allowed", describeNode(v.Key))
			continue
		}
		if first, twice := seen[key]; twice {
			b.reject(v.Key, joinPath(path, key), "given twice, first on line %d", first)
			continue
		}
		seen[key] = lineOf(v.Key)
		b.file.lines[joinPath(path, key)] = lineOf(v.Key)
		kept = append(kept, v)
	}
	return kept
}

// bindStruct decodes a mapping into a struct. A key without a matching field is a
// problem.
func (b binder) bindStruct(path string, node ast.Node, dst reflect.Value) {
	fields := fieldsOf(dst.Type())
	for _, entry := range b.entries(path, node, dst.Type()) {
		key, _ := keyOf(entry.Key)
		i, ok := fields[key]
		if !ok {
			b.reject(entry.Key, joinPath(path, key), "unknown field, allowed: %s", sortedNames(fields))
			continue
		}
		b.bind(joinPath(path, key), entry.Value, dst.Field(i))
	}
}

// bindMap decodes a YAML mapping into a map with string keys. An entry with a null
// value gets the defaults of its type.
func (b binder) bindMap(path string, node ast.Node, dst reflect.Value) {
	result := reflect.MakeMap(dst.Type())
	for _, entry := range b.entries(path, node, dst.Type()) {
		key, _ := keyOf(entry.Key)
		value := reflect.New(dst.Type().Elem())
		if d, ok := value.Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		if _, null := entry.Value.(*ast.NullNode); !null {
			b.bind(joinPath(path, key), entry.Value, value.Elem())
		}
		result.SetMapIndex(reflect.ValueOf(key).Convert(dst.Type().Key()), value.Elem())
	}
	dst.Set(result)
}

// bindSlice decodes a YAML list into a slice.
func (b binder) bindSlice(path string, node ast.Node, dst reflect.Value) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		b.reject(node, path, "%s, %s allowed", describeNode(node), describeType(dst.Type()))
		return
	}
	result := reflect.MakeSlice(dst.Type(), len(seq.Values), len(seq.Values))
	for i, value := range seq.Values {
		item := fmt.Sprintf("%s[%d]", path, i)
		b.file.lines[item] = lineOf(value)
		b.bind(item, value, result.Index(i))
	}
	dst.Set(result)
}

// bindStringOrBool decodes a scalar into a string or bool. A number or boolean without
// quotes is not accepted as a string.
func (b binder) bindStringOrBool(path string, node ast.Node, dst reflect.Value) {
	if flag, ok := node.(*ast.BoolNode); ok && dst.Kind() == reflect.Bool {
		dst.SetBool(flag.Value)
		return
	}
	text, ok := textOf(node)
	if !ok || dst.Kind() != reflect.String {
		b.reject(node, path, "%s, %s allowed", describeNode(node), describeType(dst.Type()))
		return
	}
	dst.SetString(text)
}

// bindDuration decodes a scalar in the syntax of time.ParseDuration.
func (b binder) bindDuration(path string, node ast.Node, dst reflect.Value) {
	text, _ := scalarOf(node)
	d, err := time.ParseDuration(text)
	if err != nil {
		b.reject(node, path, "%s, %s allowed", describeNode(node), describeType(dst.Type()))
		return
	}
	dst.SetInt(int64(d))
}

// bindSize decodes a scalar in the syntax of ParseSize.
func (b binder) bindSize(path string, node ast.Node, dst reflect.Value) {
	text, _ := scalarOf(node)
	size, err := ParseSize(text)
	if err != nil {
		b.reject(node, path, "%s, %s allowed", describeNode(node), describeType(dst.Type()))
		return
	}
	dst.SetInt(int64(size))
}

// bindNumber decodes an integer or floating-point node.
func (b binder) bindNumber(path string, node ast.Node, dst reflect.Value) {
	text, ok := numberOf(node)
	if ok {
		ok = setNumber(text, dst)
	}
	if !ok {
		b.reject(node, path, "%s, %s allowed", describeNode(node), describeType(dst.Type()))
	}
}

// setNumber parses text as the numeric type of dst and stores the result. Returns
// false when text is not of that type or its value is out of range for it; for
// floating-point types, infinity and NaN are rejected too.
func setNumber(text string, dst reflect.Value) bool {
	switch {
	case dst.CanInt():
		n, err := strconv.ParseInt(text, 10, dst.Type().Bits())
		if err == nil {
			dst.SetInt(n)
		}
		return err == nil
	case dst.CanUint():
		n, err := strconv.ParseUint(text, 10, dst.Type().Bits())
		if err == nil {
			dst.SetUint(n)
		}
		return err == nil
	case dst.CanFloat():
		n, err := strconv.ParseFloat(text, dst.Type().Bits())
		if err != nil || math.IsInf(n, 0) || math.IsNaN(n) {
			return false
		}
		dst.SetFloat(n)
		return true
	}
	return false
}

// fieldsOf maps the name in each `yaml` struct tag to the index of its field.
// Fields without a tag or with the name "-" are left out.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// sortedNames returns the field names, sorted and separated by commas.
func sortedNames(fields map[string]int) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// joinPath appends key to a field path such as "lease.renew".
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
