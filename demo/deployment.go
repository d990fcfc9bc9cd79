package demo

import "github.com/monsoonmoor/monsoonmoor/ident"

// Deployment is the part of a fleet that one team runs.
type Deployment struct {
	Team     string
	Region   ident.Region
	Places   []ident.Place
	Services []ServiceSize
}

// ServiceSize is one service of a deployment.
type ServiceSize struct {
	Name      ident.Service
	Upstreams int
	// Slots and Conns are what each upstream takes at once.
	Slots int
	Conns int
	// Divided reports a service whose keys have one owner each.
	Divided bool
}

// Sizes of each upstream.
const (
	upstreamSlots = 20
	upstreamConns = 100
)

// Deployments returns two deployments: the rounds desks of a newsagents'
// association and the events of a meetup site.
func Deployments() []Deployment {
	return []Deployment{
		{
			Team:   "lonestar",
			Region: "texas",
			Places: []ident.Place{"dallas", "houston", "san-antonio", "el-paso"},
			Services: []ServiceSize{
				{Name: "rounds-desk", Upstreams: 6, Slots: upstreamSlots, Conns: upstreamConns, Divided: true},
				{Name: "carrier-hub", Upstreams: 4, Slots: upstreamSlots, Conns: upstreamConns},
			},
		},
		{
			Team:   "grachtgenoot",
			Region: "nl-west",
			Places: []ident.Place{"nl-west-a", "nl-west-b", "nl-west-c"},
			Services: []ServiceSize{
				{Name: "events", Upstreams: 5, Slots: upstreamSlots, Conns: upstreamConns, Divided: true},
				{Name: "media", Upstreams: 4, Slots: upstreamSlots, Conns: upstreamConns},
			},
		},
	}
}
