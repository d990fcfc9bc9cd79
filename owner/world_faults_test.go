package owner_test

import "slices"

// setEvacuated evacuates the zone with every third daemon, or takes it back.
func (w *simulation) setEvacuated(evacuated bool) {
	w.evacuated = evacuated
	for _, d := range w.daemons {
		d.machine.SetEvacuated(w.isEvacuated(d))
	}
}

// isEvacuated reports whether the zone of a daemon is evacuated.
func (w *simulation) isEvacuated(d *daemon) bool {
	i := slices.Index(w.daemons, d)
	return w.evacuated && i%3 == 0
}

// stop makes a daemon give away its keys; the gossip of others then shows it as
// stopping.
func (w *simulation) stop(d *daemon) {
	d.machine.Stop(w.now)
	d.stopping = true
}

// injectFault injects one random fault: a crash, freeze, partition, store
// outage or announced end.
func (w *simulation) injectFault() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	long := w.now.Add(w.delay(3000))
	if w.rules.evacuations && w.rng.IntN(3) == 0 {
		w.setEvacuated(!w.evacuated)
		return
	}
	if w.rules.restores && w.rng.IntN(6) == 0 {
		w.restore()
		return
	}
	if w.rules.replacements && w.rng.IntN(4) == 0 && w.now.Sub(w.replacedAt) > replaceInterval {
		w.replaceAny()
		return
	}
	switch w.rng.IntN(10) {
	case 0:
		d.up, d.restartAt = false, long
	case 1:
		d.upstream.up, d.upstream.restartAt = false, long
	case 2:
		d.up, d.restartAt, d.upstream.up, d.upstream.restartAt = false, long, false, long.Add(w.delay(300))
	case 3:
		d.frozenAt, d.frozenUntil = w.now, long
	case 4:
		d.partitionedUntil = long
	case 5:
		d.storeDownUntil = long
	case 6:
		w.storeDownUntil = w.now.Add(w.delay(2000))
	case 7:
		for _, o := range w.daemons {
			if w.rng.IntN(2) == 0 {
				o.up, o.restartAt = false, w.now.Add(w.delay(1500))
			}
		}
	case 8:
		d.machine.UpstreamLeaving()
	case 9:
		w.stop(d)
		d.endsAt = long
	}
}
