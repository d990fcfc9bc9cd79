package policy

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Difference is one field in which two documents differ.
type Difference struct {
	field    string
	old, now string
}

// Field returns the path of the field, such as "services.events.slots".
func (d Difference) Field() string { return d.field }

// Old returns the value in the first document; empty when the field is new.
func (d Difference) Old() string { return d.old }

// Now returns the value in the second document; empty when it is gone.
func (d Difference) Now() string { return d.now }

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.old == "":
		return fmt.Sprintf("+ %s: %s", d.field, d.now)
	case d.now == "":
		return fmt.Sprintf("- %s: %s", d.field, d.old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.field, d.old, d.now)
}

// Diff returns the fields in which now differs from old, ordered by path. Base
// revisions are not compared.
func Diff(old, now Document) []Difference {
	a, b := flatten(old), flatten(now)
	var fields []string
	for field := range a {
		fields = append(fields, field)
	}
	for field := range b {
		if _, ok := a[field]; !ok {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	var diffs []Difference
	for _, field := range fields {
		if a[field] != b[field] {
			diffs = append(diffs, Difference{field: field, old: a[field], now: b[field]})
		}
	}
	return diffs
}

// flatten returns the values of a document by their paths.
func flatten(d Document) map[string]string {
	values := map[string]string{}
	if d.Team != "" {
		values["team"] = string(d.Team)
	}
	for name, service := range d.Services {
		flattenStruct("services."+string(name), reflect.ValueOf(service), values)
	}
	return values
}

func flattenStruct(path string, v reflect.Value, values map[string]string) {
	for i := range v.NumField() {
		field := path + "." + v.Type().Field(i).Tag.Get("yaml")
		switch value := v.Field(i).Interface().(type) {
		case []ident.Place:
			values[field] = placesText(value)
		case fmt.Stringer:
			values[field] = value.String()
		default:
			if v.Field(i).Kind() == reflect.Struct {
				flattenStruct(field, v.Field(i), values)
			} else if text := fmt.Sprint(value); text != "" {
				values[field] = text
			}
		}
	}
}

func placesText(places []ident.Place) string {
	if len(places) == 0 {
		return "everywhere"
	}
	names := make([]string, len(places))
	for i, place := range places {
		names[i] = string(place)
	}
	return strings.Join(names, ", ")
}
