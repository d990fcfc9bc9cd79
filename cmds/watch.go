package cmds

import (
	"os"
	"time"
)

// watch tells when a file has changed.
type watch struct {
	path  string
	wrote time.Time
	size  int64
}

// newWatch returns a watch that takes the file as it is for known.
func newWatch(path string) *watch {
	w := &watch{path: path}
	w.changed()
	return w
}

// forget makes the file count as changed.
func (w *watch) forget() { w.wrote = time.Time{} }

// changed reports whether the file differs from the last look. A file that is not
// there, such as one that is being replaced, has not changed.
func (w *watch) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	if info.ModTime().Equal(w.wrote) && info.Size() == w.size {
		return false
	}
	w.wrote, w.size = info.ModTime(), info.Size()
	return true
}
