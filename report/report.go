package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/monsoonmoor/monsoonmoor/load"
)

// Names of the files that Save writes.
const (
	TextName    = "report.txt"
	JSONName    = "report.json"
	PictureName = "report.png"
)

// errEmpty means that a report has nothing to draw.
var errEmpty = errors.New("no trials and no gaps")

// Cause says why keys were unavailable.
type Cause string

// Causes.
const (
	// Planned is a move that the owner decided on.
	Planned Cause = "planned move"
	// Loss is the end of a host without notice.
	Loss Cause = "loss of a host"
)

// Gap is the distribution, over keys, of the time for which each was
// unavailable once.
type Gap struct {
	Service   string           `json:"service"`
	Cause     Cause            `json:"cause"`
	Placement Placement        `json:"placement"`
	Time      load.Percentiles `json:"time"`
}

// Report is what came of an experiment.
type Report struct {
	Trials []*Trial `json:"trials"`
	Gaps   []Gap    `json:"gaps"`
}

// WriteText writes the report as two tables.
func (r *Report) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprint(&text, "Load by upstream, maximum over mean; final: mean of the last third\n\n"+
		"service\tload\tplacement\tfinal\tleast\thighest/least\tunbalanced s\tmoved\tpins\tp50 ms\tp99 ms\tothers p99 ms\tnot answered\n")
	for _, t := range r.Trials {
		actual, least := t.Final()
		unbalanced, _ := t.Unbalanced()
		all, last := t.Result.Latency["all"], t.Last()
		fmt.Fprintf(&text, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%d\n",
			t.Service, t.Shape, t.Placement, actual, least, t.Highest(), unbalanced, last.Moved, last.Pins,
			all.P50, all.P99, t.Others.P99, t.Result.Offered-t.Result.Calls["answered"])
	}
	fmt.Fprint(&text, "\nTime for which a key was unavailable\n\nservice\tcause\tplacement\tkeys\tp50 ms\tp90 ms\tmax ms\n")
	for _, g := range r.Gaps {
		fmt.Fprintf(&text, "%s\t%s\t%s\t%d\t%.0f\t%.0f\t%.0f\n",
			g.Service, g.Cause, g.Placement, g.Time.Count, g.Time.P50, g.Time.P90, g.Time.Max)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(t, text.String()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Save writes the text, the JSON and the picture into a directory, which it
// makes when there is none.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("make directory of the report: %w", err)
	}
	files := []struct {
		name  string
		write func(io.Writer) error
	}{
		{TextName, r.WriteText},
		{JSONName, r.WriteJSON},
		{PictureName, func(w io.Writer) error { return r.WritePicture(w, "png") }},
	}
	for _, f := range files {
		if err := save(filepath.Join(dir, f.name), f.write); err != nil {
			return err
		}
	}
	return nil
}

func save(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create %s: %w", path, err)
	}
	return errors.Join(write(f), f.Close())
}
