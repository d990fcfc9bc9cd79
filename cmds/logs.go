package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/monsoonmoor/monsoonmoor/course"
)

// logsCmd puts the logs of a fleet's daemons together.
type logsCmd struct {
	Files   []string      `arg:"" name:"file" help:"Log of a daemon, or of many; - is the standard input."`
	Request string        `placeholder:"ID" help:"Show all lines about this request instead, and about those sent for it."`
	Every   time.Duration `default:"1s" help:"Length of a step (default ${default})."`
	Picture string        `type:"path" placeholder:"FILE" help:"Draw the course as well; FILE ends in .svg, .png or .pdf."`
}

// Help implements kong's long help.
func (logsCmd) Help() string {
	return `A line belongs to the process that stands before its time, to its host, or else to
the file. Clocks of hosts may differ: lines are put in order by the time that each
daemon wrote.

  monsoonmoor logs dallas-*.log --picture day.svg
  monsoonmoor logs dallas-*.log --request 9507ff7976b93d12`
}

// Run implements the command.
func (c *logsCmd) Run(env *Env) error {
	if c.Every < time.Millisecond {
		return fmt.Errorf("%w: --every %s, 1ms or more allowed", errUsage, c.Every)
	}
	format := strings.TrimPrefix(filepath.Ext(c.Picture), ".")
	if c.Picture != "" && format != "svg" && format != "png" && format != "pdf" {
		return fmt.Errorf("%w: --picture %s, a name that ends in .svg, .png or .pdf allowed", errUsage, c.Picture)
	}
	day := course.New(c.Every, course.WithRequest(c.Request))
	for _, name := range c.Files {
		if err := c.read(env, day, name); err != nil {
			return err
		}
	}
	if c.Picture != "" {
		if err := c.draw(day, format); err != nil {
			return err
		}
	}
	if env.json {
		return day.WriteJSON(env.stdout)
	}
	return day.WriteText(env.stdout)
}

func (c *logsCmd) read(env *Env, day *course.Course, name string) error {
	if name == "-" {
		return day.Read(env.stdin, "-")
	}
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	base := filepath.Base(name)
	return errors.Join(day.Read(file, strings.TrimSuffix(base, filepath.Ext(base))), file.Close())
}

func (c *logsCmd) draw(day *course.Course, format string) error {
	file, err := os.Create(c.Picture)
	if err != nil {
		return fmt.Errorf("draw course: %w", err)
	}
	if err := errors.Join(day.WritePicture(file, format), file.Close()); err != nil {
		return errors.Join(err, os.Remove(c.Picture))
	}
	return nil
}
