package strict

import "regexp"

// NameRule describes the names that IsName accepts, for use in messages.
const NameRule = "1 to 63 lower-case letters, digits and inner hyphens"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// IsName reports whether text is a valid name of a host, place, region, service or
// team.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}
