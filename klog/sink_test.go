package klog_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/klog"
)

func TestLine(t *testing.T) {
	var nilIncarnation *ident.Incarnation
	for _, test := range []struct {
		name string
		log  func(l logr.Logger)
		want string
	}{
		{"plain", func(l logr.Logger) { l.Info("lease renewed", "left", 2*time.Second) }, `level=info msg="lease renewed" left=2s`},
		{"debug", func(l logr.Logger) { l.V(1).Info("dial") }, `level=debug msg=dial`},
		{"above the level", func(l logr.Logger) { l.V(2).Info("dial") }, ""},
		{"error", func(l logr.Logger) { l.Error(errors.New("cut"), "lost", "host", ident.Host("a")) }, `level=error msg=lost host=a err=cut`},
		{"no error", func(l logr.Logger) { l.Error(nil, "lost") }, `level=error msg=lost`},
		{"name and values", func(l logr.Logger) { l.WithName("a").WithName("b").WithValues("x", 1).Info("m", "y", 2) }, `level=info logger=a.b msg=m x=1 y=2`},
		{"stringer", func(l logr.Logger) { l.Info("m", "inc", ident.NewIncarnation("a", 16)) }, `level=info msg=m inc=a~10`},
		{"nil stringer", func(l logr.Logger) { l.Info("m", "inc", nilIncarnation) }, `level=info msg=m inc=nil`},
		{"odd pairs", func(l logr.Logger) { l.Info("m", "x") }, `level=info msg=m x=missing`},
		{"key of another type", func(l logr.Logger) { l.Info("m", 7, 8) }, `level=info msg=m 7=8`},
		{"newline stays on the line", func(l logr.Logger) { l.Info("a\nb", "k", "c\nd") }, `level=info msg="a\nb" k="c\nd"`},
		{"empty key", func(l logr.Logger) { l.Info("m", "", 1) }, `level=info msg=m badkey=1`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var b strings.Builder
			clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 3, 4, 5, 6000, time.UTC))
			test.log(klog.New(&b, klog.WithClock(clock), klog.WithLevel(1)))
			want := test.want
			if want != "" {
				want = "time=2026-01-02T03:04:05.000006Z " + want + "\n"
			}
			c.Assert(b.String(), qt.Equals, want)
		})
	}
}

func TestLongValueIsCut(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	klog.New(&b).Info("m", "k", strings.Repeat("x", 1<<20))
	c.Assert(b.Len() < 8<<10, qt.IsTrue)
}
