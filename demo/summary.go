package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/load"
)

// Summary is what came of a run.
type Summary struct {
	// Settled is the time from the start until every slot had an owner.
	Settled  time.Duration     `json:"settled"`
	Hosts    int               `json:"hosts"`
	Lost     []ident.Host      `json:"lost,omitempty"`
	Services []*ServiceSummary `json:"services"`
}

// ServiceSummary is what came of the load of one service.
type ServiceSummary struct {
	Service   ident.Service `json:"service"`
	Upstreams int           `json:"upstreams"`
	// Owned is the number of slots of each host at the end.
	Owned map[ident.Host]uint32 `json:"owned"`
	// Moved is the number of slots whose owner changed during the load.
	Moved  int          `json:"moved"`
	Result *load.Result `json:"result"`
}

// ownership maps the shards of the divided services to their owners.
type ownership map[ident.Shard]ident.Host

// owners returns who owns what, as the first live daemon has it.
func (f *Fleet) owners() ownership {
	owners := make(ownership)
	for _, h := range f.hosts {
		if h.lost {
			continue
		}
		for _, s := range h.daemon.Status().Services {
			for _, o := range s.Owners {
				for _, r := range o.Ranges {
					for slot := r.First; slot <= r.Last; slot++ {
						owners[ident.NewShard(s.Name, slot)] = o.Inc.Host
					}
				}
			}
		}
		return owners
	}
	return owners
}

// finish adds owners and churn at the end of a run.
func (s *Summary) finish(f *Fleet, before ownership) {
	after := f.owners()
	for _, report := range s.Services {
		report.Owned = make(map[ident.Host]uint32)
		for shard, host := range after {
			if shard.Service != report.Service {
				continue
			}
			report.Owned[host]++
			if before[shard] != host {
				report.Moved++
			}
		}
	}
}

// WriteJSON writes the summary as JSON.
func (s *Summary) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// WriteText writes the summary for a person.
func (s *Summary) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet of %d hosts, every slot owned after %s", s.Hosts, s.Settled.Round(time.Millisecond))
	if len(s.Lost) > 0 {
		fmt.Fprintf(&text, ", lost during the load: %v", s.Lost)
	}
	fmt.Fprint(&text, "\n\nservice\tanswered\tnot-run\tunknown\tp50 ms\tp99 ms\timbalance\tslots moved\tunavailable ms\n")
	for _, r := range s.Services {
		res := r.Result
		all := res.Latency["all"]
		fmt.Fprintf(&text, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d\t%.0f\n",
			r.Service, res.Calls["answered"], res.Calls["not-run"], res.Calls["unknown"],
			all.P50, all.P99, res.Imbalance, r.Moved, res.Unavailable.Millis)
	}
	fmt.Fprint(&text, "\nservice\thost\tslots owned\tanswered\n")
	for _, r := range s.Services {
		for _, host := range sortedHosts(r.Owned) {
			fmt.Fprintf(&text, "%s\t%s\t%d\t%d\n", r.Service, host, r.Owned[host], r.Result.Owners[string(host)])
		}
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(t, text.String()); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// sortedHosts returns the hosts of a map in order.
func sortedHosts(owned map[ident.Host]uint32) []ident.Host {
	return slices.Sorted(maps.Keys(owned))
}
