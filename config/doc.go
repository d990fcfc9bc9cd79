// Package config reads and validates the settings of one daemon from a YAML
// file. Field names are single short words and unknown fields are errors. All
// errors of a file are reported together; each one states the file, the line,
// the field and the allowed values.
//
// # Usage
//
//	settings, err := config.Load("dallas-1.yaml")
//	var problems strict.Problems
//	if errors.As(err, &problems) {
//		// One entry for each invalid field.
//	}
package config
