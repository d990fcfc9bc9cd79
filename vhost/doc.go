// Package vhost maps the virtual host and the path of a caller's request to a route:
// of the virtual host's routes, the one with the longest matching path prefix. A RoutingConfig
// is one version of the operators' configuration of routes, services and limits. A
// Holder holds the newest version and rejects older ones.
//
// # Usage
//
//	plan, err := vhost.New(version, routes, services, limits)
//	holder.Set(plan)
//	route, ok := holder.Plan().Match("shop.example", "/rounds/17")
//	service := route.Pick()
package vhost
