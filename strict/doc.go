// Package strict decodes YAML settings files into Go structs and validates them
// strictly. It collects all problems of a file rather than stop at the first;
// each problem gives the file, the line, the field and the allowed values.
// Unknown fields, duplicate fields, anchors, aliases, tags and more than one
// document in a file are problems.
//
// The struct tag `yaml` gives the name of a field. The supported types are
// strings, booleans, integers, floating-point numbers, time.Duration, Size,
// structs, pointers to structs, slices, and maps with string keys.
//
// # Usage
//
//	file := strict.Decode("dallas-1.yaml", data, &settings)
//	if settings.Renew*2 > settings.Length {
//		file.Reject("lease.renew", "%s, at most half of lease.length", settings.Renew)
//	}
//	return file.Err()
package strict
