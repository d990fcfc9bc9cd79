package admin

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// maxRanges is the number of slot ranges shown for an owner.
const maxRanges = 4

// WriteStatus writes a status as tables.
func WriteStatus(w io.Writer, s Status) error {
	var b strings.Builder
	writeSelf(&b, s)
	writeServices(&b, s.Services)
	writeMembers(&b, s.Members)
	return align(w, b.String())
}

// align writes text whose columns are parted by tabs.
func align(w io.Writer, text string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := io.WriteString(t, text); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func writeSelf(w *strings.Builder, s Status) {
	fmt.Fprintf(w, "member\t%s\n", s.Self)
	fmt.Fprintf(w, "place\t%s (%s)\n", s.Place, s.Region)
	lease := "none"
	if s.Lease > 0 {
		lease = s.Lease.String() + " left"
	}
	fmt.Fprintf(w, "lease\t%s, witnesses %s\n", lease, joinInc(s.Witnesses))
	fmt.Fprintf(w, "upstream\t%s, %d slots%s\n", state(s.Upstream.Up), s.Upstream.Slots,
		flags("cold", s.Upstream.Cold, "checks tokens", s.Upstream.Checks))
	fmt.Fprintf(w, "load\t%.1f busy of %.0f, %.1f queued, %.0f/s\n", s.Load.Busy, s.Load.Limit, s.Load.Queued, s.Load.Rate)
	fmt.Fprintf(w, "log\t%s, next offset %d, %d to append, heard %s ago\n", state(s.Log.Up), s.Log.Offset, s.Log.Pending, s.Log.Age)
	revisions := make([]string, 0, len(s.Settings.Revisions))
	for _, name := range slices.Sorted(maps.Keys(s.Settings.Revisions)) {
		revisions = append(revisions, fmt.Sprintf("%s=%d", name, s.Settings.Revisions[name]))
	}
	fmt.Fprintf(w, "settings\t%s\n", orDash(strings.Join(revisions, " ")))
	fmt.Fprintf(w, "quarantined\t%d\n", s.Quarantined)
	if s.Draining {
		w.WriteString("draining\tyes\n")
	}
}

func writeServices(w *strings.Builder, services []Service) {
	if len(services) == 0 {
		return
	}
	w.WriteString("\nSERVICE\tOWNER\tSLOTS\tRANGES\n")
	for _, s := range services {
		for _, o := range s.Owners {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", s.Name, o.Inc, o.Count, ranges(o.Ranges))
		}
		if s.Unowned > 0 {
			fmt.Fprintf(w, "%s\t-\t%d\t\n", s.Name, s.Unowned)
		}
	}
}

func writeMembers(w *strings.Builder, members []Member) {
	if len(members) == 0 {
		return
	}
	w.WriteString("\nMEMBER\tPLACE\tSERVICE\tHEARD\tADMIN\n")
	for _, m := range members {
		heard := "never"
		switch {
		case m.Fenced:
			heard = "fenced"
		case m.Age >= 0:
			heard = m.Age.String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Inc, m.Place, m.Service, heard, m.Admin)
	}
}

// WriteQuarantine writes quarantine entries as a table.
func WriteQuarantine(w io.Writer, list []Quarantine) error {
	var b strings.Builder
	b.WriteString("SERVICE\tFINGERPRINT\tCRASHES\tSTATE\tLEFT\n")
	for _, q := range list {
		state := "suspect"
		if q.Refused {
			state = "refused"
		}
		fmt.Fprintf(&b, "%s\t%s\t%d\t%s\t%s\n", q.Service, q.Fingerprint, q.Crashes, state, q.Left)
	}
	return align(w, b.String())
}

func state(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

// flags lists the names that are set, each after a comma.
func flags(pairs ...any) string {
	var b strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		if set, ok := pairs[i+1].(bool); ok && set {
			fmt.Fprintf(&b, ", %v", pairs[i])
		}
	}
	return b.String()
}

func joinInc(list []ident.Incarnation) string {
	names := make([]string, len(list))
	for i, inc := range list {
		names[i] = inc.String()
	}
	return orDash(strings.Join(names, " "))
}

func ranges(list []Range) string {
	var parts []string
	for i, r := range list {
		if i == maxRanges {
			parts = append(parts, fmt.Sprintf("and %d more", len(list)-maxRanges))
			break
		}
		if r.First == r.Last {
			parts = append(parts, fmt.Sprint(r.First))
			continue
		}
		parts = append(parts, fmt.Sprintf("%d-%d", r.First, r.Last))
	}
	return strings.Join(parts, " ")
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
