package vhost_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/vhost"
)

// route returns a route whose services all have the weight 1.
func route(host, prefix string, services ...ident.Service) *vhost.Route {
	var destinations []vhost.Destination
	for _, s := range services {
		destinations = append(destinations, vhost.Destination{Service: s, Weight: 1})
	}
	return vhost.NewRoute(host, prefix, destinations, calls.RoutePolicy{Route: host + prefix})
}

func TestMatch(t *testing.T) {
	c := qt.New(t)
	plan, err := vhost.New(7, []*vhost.Route{
		route("shop.example", "/", "a"),
		route("shop.example", "/rounds/", "b"),
		route("shop.example", "/rounds/hot/", "a"),
		route("desk.example", "/x/", "b"),
	}, []vhost.Service{{Name: "a"}, {Name: "b", Ordered: true}}, vhost.Limits{})
	c.Assert(err, qt.IsNil)
	for _, test := range []struct{ host, path, want string }{
		{"shop.example", "/rounds/17", "shop.example/rounds/"},
		{"shop.example", "/rounds/", "shop.example/rounds/"},
		{"shop.example", "/rounds", "shop.example/"},
		{"shop.example", "/rounds/hot/1/2", "shop.example/rounds/hot/"},
		{"shop.example", "/roundsx/1", "shop.example/"},
		{"SHOP.example:80", "/rounds/1", "shop.example/rounds/"},
		{"desk.example", "/x/1", "desk.example/x/"},
		{"desk.example", "/x", ""},
		{"desk.example", "/y/x/", ""},
		{"desk.example", "", ""},
		{"other.example", "/rounds/1", ""},
	} {
		got := ""
		if r, ok := plan.Match(test.host, test.path); ok {
			got = r.Terms().Route
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
	c.Assert(plan.Ordered(), qt.DeepEquals, []ident.Service{"b"})
}

func TestBadPlans(t *testing.T) {
	services := []vhost.Service{{Name: "a"}}
	for _, test := range []struct {
		name   string
		routes []*vhost.Route
		want   string
	}{
		{"no slash", []*vhost.Route{route("h", "/x", "a")}, `.*route "h/x": prefix "/x" does not begin and end with a slash`},
		{"unknown service", []*vhost.Route{route("h", "/x/", "b")}, `.*route "h/x/": unknown service "b"`},
		{"no service", []*vhost.Route{route("h", "/x/")}, `.*route "h/x/": no service`},
		{"twice", []*vhost.Route{route("h", "/x/", "a"), route("H", "/x/", "a")}, `.*prefix "/x/" of host "H" is taken`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := vhost.New(1, test.routes, services, vhost.Limits{})
			qt.New(t).Assert(err, qt.ErrorMatches, test.want)
			qt.New(t).Assert(err, qt.ErrorIs, vhost.ErrRoutingConfig)
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := vhost.NewRoute("h", "/", []vhost.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}, calls.RoutePolicy{})
	counts := map[ident.Service]int{}
	for range 200 {
		counts[r.Pick()]++
	}
	c.Assert(counts, qt.DeepEquals, map[ident.Service]int{"a": 180, "b": 20})
}

func TestHolderNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	h := vhost.NewHolder()
	c.Assert(h.Plan().Version(), qt.Equals, uint64(0))
	for _, step := range []struct {
		version uint64
		set     bool
	}{{3, true}, {2, false}, {3, false}, {9, true}, {8, false}} {
		p, err := vhost.New(step.version, nil, nil, vhost.Limits{})
		c.Assert(err, qt.IsNil)
		c.Check(h.Set(p), qt.Equals, step.set)
	}
	c.Assert(h.Plan().Version(), qt.Equals, uint64(9))
}
