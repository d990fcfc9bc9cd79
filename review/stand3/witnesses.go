package main

import (
	"fmt"
	"net/http"
	"time"
)

// recovery is the bound of the pages with this name.
const recovery = 15 * time.Second

// witnesses replaces two machines, stops and starts two daemons in turn, and ends with a
// loss of all processes, from which two machines don't come back. Calls must be served
// again.
func witnesses(t *trial) bool {
	t.store.write("keyed.op", "config", config())
	machines := map[string]*endpoint{}
	daemons := map[string]*daemon{}
	add := func(name, zone, service string, first bool) {
		e := t.newEndpoint(service, zone, service == deskService, answer(20*time.Millisecond, 100))
		d := t.newDaemon(name, zone, service, e.addr)
		t.daemons = append(t.daemons, d)
		e.control = d.control
		machines[name], daemons[name] = e, d
		d.start(first)
		e.begin("i-" + name)
	}
	remove := func(name string) {
		machines[name].crash()
		daemons[name].kill()
		t.note("machine %s is removed for good", name)
		delete(machines, name)
		delete(daemons, name)
	}
	add("sidecar-dallas-1", "dallas", deskService, true)
	add("sidecar-el-paso-2", "dallas", deskService, true)
	for _, name := range []string{"sidecar-el-paso-1", "sidecar-houston-2", "sidecar-houston-3", "sidecar-houston-4", "sidecar-san-antonio-1"} {
		add(name, "houston", hubService, true)
	}
	a, b := machines["sidecar-dallas-1"], machines["sidecar-el-paso-2"]
	t.await("all keys are held", 20*time.Second, func() bool { return a.count()+b.count() == 65536 })
	time.Sleep(3 * time.Second)
	if t.trouble {
		for i, name := range []string{"sidecar-houston-4", "sidecar-el-paso-1"} {
			remove(name)
			time.Sleep(time.Second)
			add(fmt.Sprintf("sidecar-houston-%d", 6+i), "houston", hubService, false)
			time.Sleep(3 * time.Second)
		}
	}
	for _, name := range []string{"sidecar-dallas-1", "sidecar-el-paso-2"} {
		daemons[name].terminate()
		time.Sleep(500 * time.Millisecond)
		daemons[name].start(false)
		time.Sleep(4 * time.Second)
	}
	t.await("all keys are held", 20*time.Second, func() bool { return a.count()+b.count() == 65536 })
	t.note("%s holds %d keys, %s holds %d", a.id, a.count(), b.id, b.count())
	before := t.share(daemons["sidecar-el-paso-2"], 3*time.Second)

	t.note("all processes are killed; the machines sidecar-dallas-1 and sidecar-houston-3 don't come back")
	remove("sidecar-dallas-1")
	remove("sidecar-houston-3")
	for _, d := range daemons {
		d.kill()
	}
	time.Sleep(time.Second)
	for _, d := range daemons {
		d.start(false)
	}
	time.Sleep(recovery)
	after := t.share(daemons["sidecar-el-paso-2"], 15*time.Second)
	t.note("%s holds %d keys", b.id, b.count())
	if before >= 0.25 && after < 0.25 {
		t.note("BROKEN: less than a quarter of the requests is served %s after the machines are back", recovery)
		return true
	}
	return false
}

// share sends requests for keys all over the key space to a daemon for a while, and returns
// the share that is served.
func (t *trial) share(d *daemon, length time.Duration) float64 {
	served, sent := 0, 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		sent++
		r := send(request{to: d.outbound, host: deskHost, method: "GET", path: "/read/1", key: sent * 4099 % 65536, budget: 1200 * time.Millisecond})
		if r.status == http.StatusOK {
			served++
		}
	}
	t.note("%d of %d requests to %s are served", served, sent, d.name)
	return float64(served) / float64(max(1, sent))
}
