// Package vhost maps a caller's virtual host and path to a route: the longest
// prefix of the path that the host knows. A Plan is one whole version of the
// operators' routes, services and limits; a Holder keeps the newest one and never
// goes back to an older version.
//
// # Usage
//
//	plan, err := vhost.New(version, routes, services, limits)
//	holder.Set(plan)
//	route, ok := holder.Plan().Match("shop.example", "/rounds/17")
//	service := route.Pick()
package vhost
