package strict

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// maxExcerpt is the maximum length in bytes of an invalid value quoted in a
// message.
const maxExcerpt = 40

// keyOf returns the text of a mapping key. Returns false when the key is empty or
// not a scalar.
func keyOf(node ast.MapKeyNode) (string, bool) {
	if node == nil {
		return "", false
	}
	text, ok := scalarOf(node)
	return text, ok && text != ""
}

// textOf returns the value of a string node. A number without quotes is not a
// string.
func textOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

// numberOf returns the text of an integer or floating-point node.
func numberOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.IntegerNode:
		return fmt.Sprint(n.Value), true
	case *ast.FloatNode:
		return n.Token.Value, true
	}
	return "", false
}

// scalarOf returns the text of a string, number or boolean node.
func scalarOf(node ast.Node) (string, bool) {
	if text, ok := textOf(node); ok {
		return text, true
	}
	if text, ok := numberOf(node); ok {
		return text, true
	}
	if flag, ok := node.(*ast.BoolNode); ok {
		return fmt.Sprint(flag.Value), true
	}
	return "", false
}

// describeNode returns a description of a node for messages: the quoted value of a
// scalar, otherwise the kind of node.
func describeNode(node ast.Node) string {
	if text, ok := scalarOf(node); ok {
		if len(text) > maxExcerpt {
			text = strings.ToValidUTF8(text[:maxExcerpt], "") + "…"
		}
		return fmt.Sprintf("%q", text)
	}
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode:
		return "an anchor"
	case *ast.AliasNode:
		return "an alias"
	case *ast.TagNode:
		return "a tag"
	}
	return "a " + strings.ToLower(node.Type().String())
}

// describeType returns a description of the values that a type accepts, for messages.
func describeType(t reflect.Type) string {
	switch t {
	case durationType:
		return "a duration such as 500ms or 1m30s"
	case sizeType:
		return "a size such as 512KiB or 32MiB"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping with " + sortedNames(fieldsOf(t))
	case reflect.Map:
		return "a mapping by name"
	case reflect.Slice:
		return "a list"
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.String:
		return "a text (in quotes if it looks like a number)"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}
