package events

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Dimensions of the diagram in pixels.
const (
	timeWidth    = 108
	laneWidth    = 230
	laneInset    = 18
	headerHeight = 48
	rowHeight    = 24
	gapHeight    = 26
	labelGap     = 16
	charWidth    = 7
)

const (
	// maxRows is the maximum number of events drawn; older events are left out.
	maxRows = 2000
	// maxLanes is the maximum number of hosts that get a lane. Events of other
	// hosts are not drawn.
	maxLanes = 64
	// maxLabel is the number of characters of a label that fit into a lane.
	maxLabel = 28
	// minGap is the time between two events from which the diagram marks a gap.
	minGap = 2 * time.Second
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// group is a set of event kinds drawn in one colour. Class is the CSS class, Text
// the entry in the legend.
type group struct {
	Class, Text string
	kinds       []Kind
}

// groups lists the groups in the order of the legend.
var groups = []group{
	{"ownership", "ownership", []Kind{
		KindClaim, KindTakeover, KindMove, KindServe, KindStop, KindPin, KindSnapshot, KindVoid,
	}},
	{"loss", "losses", []Kind{
		KindLapse, KindFenced, KindEvict, KindRestart, KindPeer, KindUpstream, KindLog, KindQuarantine,
	}},
	{"lease", "leases and votes", []Kind{KindLease, KindVote, KindWitnesses}},
	{"load", "load", []Kind{KindLimit, KindShed}},
	{"system", "membership and settings", []Kind{KindJoin, KindLeave, KindDrain, KindSettings}},
}

// page is the data of the template page.html. Dimensions are in pixels.
type page struct {
	Title, Summary           string
	Width, Height, RowHeight int
	TimeWidth                int
	Groups                   []group
	Lanes                    []lane
	Rows                     []row
}

// lane is the column of one host. Left is its left edge, X the position of its
// vertical line; Band selects the shaded background of every other lane.
type lane struct {
	Host           ident.Host
	Left, X, Width int
	Band           bool
}

// row is one event. Class is the CSS class of its group and Tip its tooltip. Top is
// the upper edge of the row; X and Y are the centre of its mark. A linked row has a
// dashed line from LinkFrom to LinkX, the lane of the member that the event is
// about. Gap is the text of the gap before the row, at height GapY; empty for none.
type row struct {
	Class, Time, Label, Tip string
	Top, X, Y               int
	Linked                  bool
	LinkFrom, LinkX         int
	Gap                     string
	GapY                    int
}

// WritePage writes a merged time line as a self-contained HTML page with an SVG
// diagram: one lane per host, time running downwards, and a dashed line from an
// event to the lane of the member that it concerns.
func WritePage(w io.Writer, title string, list []Event) error {
	p := newPage(title, list)
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("write time line page: %w", err)
	}
	return nil
}

// newPage lays out the last maxRows events of list.
func newPage(title string, list []Event) page {
	omitted := max(0, len(list)-maxRows)
	list = list[omitted:]
	p := page{Title: title, Groups: groups, RowHeight: rowHeight, TimeWidth: timeWidth, Height: headerHeight}
	hosts := hostsOf(list)
	laneX := map[ident.Host]int{}
	for i, host := range hosts {
		x := timeWidth + i*laneWidth
		laneX[host] = x + laneInset
		p.Lanes = append(p.Lanes, lane{Host: host, Left: x, X: x + laneInset, Width: laneWidth, Band: i%2 == 0})
	}
	p.Width = timeWidth + max(1, len(hosts))*laneWidth
	for i, e := range list {
		if laneX[e.Host] == 0 {
			continue
		}
		if i > 0 {
			p.addRow(e, laneX, e.Clock.Time().Sub(list[i-1].Clock.Time()))
		} else {
			p.addRow(e, laneX, 0)
		}
	}
	p.Summary = summary(list, len(hosts), omitted)
	return p
}

// addRow appends the row of an event and extends the height of the page. laneX
// gives the X position of each host's lane; pause is the time since the previous
// event.
func (p *page) addRow(e Event, laneX map[ident.Host]int, pause time.Duration) {
	r := row{Class: classOf(e.Kind), Time: wallTime(e).Format("15:04:05.000"), Tip: Line(e), X: laneX[e.Host]}
	if pause >= minGap {
		p.Height += gapHeight
		r.GapY = p.Height - gapHeight/2
		r.Gap = pause.Round(100*time.Millisecond).String() + " later"
	}
	r.Top = p.Height
	r.Y = r.Top + rowHeight/2
	p.Height += rowHeight
	r.Label = label(e)
	if x := laneX[e.Member.Host]; x != 0 && e.Member.Host != e.Host {
		r.Linked, r.LinkX, r.LinkFrom = true, x, r.X
		if x > r.X {
			r.LinkFrom = min(x, r.X+labelGap+utf8.RuneCountInString(r.Label)*charWidth)
		}
	}
	p.Rows = append(p.Rows, r)
}

// hostsOf returns the hosts that recorded the events, sorted by name; at most
// maxLanes.
func hostsOf(list []Event) []ident.Host {
	seen := map[ident.Host]bool{}
	var hosts []ident.Host
	for _, e := range list {
		if !seen[e.Host] {
			seen[e.Host] = true
			hosts = append(hosts, e.Host)
		}
	}
	slices.Sort(hosts)
	return hosts[:min(len(hosts), maxLanes)]
}

// classOf returns the CSS class of the group that contains k.
func classOf(k Kind) string {
	for _, g := range groups {
		if slices.Contains(g.kinds, k) {
			return g.Class
		}
	}
	return "system"
}

// label returns the text beside the mark of an event, truncated to fit the lane.
func label(e Event) string {
	parts := []string{string(e.Kind)}
	if e.Service != "" {
		parts = append(parts, fmt.Sprintf("%s/%s", e.Service, formatSlots(e)))
	}
	if !e.Member.IsZero() {
		parts = append(parts, string(e.Member.Host))
	}
	if e.Service == "" && e.Note != "" {
		parts = append(parts, e.Note)
	}
	text := []rune(strings.Join(parts, " "))
	if len(text) > maxLabel {
		return string(text[:maxLabel-1]) + "…"
	}
	return string(text)
}

// summary returns the line below the title: the numbers of events and hosts, the
// time range and the number of older events that are left out.
func summary(list []Event, hosts, omitted int) string {
	if len(list) == 0 {
		return "No events."
	}
	from, to := wallTime(list[0]), wallTime(list[len(list)-1])
	text := fmt.Sprintf("%d events at %d hosts, %s to %s UTC.", len(list), hosts,
		from.Format("2 Jan 2006 15:04:05"), to.Format("2 Jan 2006 15:04:05"))
	if omitted > 0 {
		text += fmt.Sprintf(" %d older events are left out.", omitted)
	}
	return text
}
