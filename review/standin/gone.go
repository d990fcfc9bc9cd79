package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// recovery is the bound recovery of the settings.
	recovery = 15 * time.Second
	// goneTime is how long after the loss the new machines come.
	goneTime = time.Second
	// measured is how long requests are counted, before the loss and after recovery.
	measured = 10 * time.Second
	// keyedInterval is the time between two requests.
	keyedInterval = 40 * time.Millisecond
)

const keyedRoutes = `{"name":"r-get","path_prefix":"/lookup/","kind":"idempotent","timeout":"1500ms","target_latency":"400ms",` +
	`"priority":1,"service":"desk","max_attempts":2},{"name":"r-photo","path_prefix":"/photo/","kind":"idempotent",` +
	`"timeout":"1500ms","target_latency":"400ms","priority":1,"service":"carrier","max_attempts":2}`

// keyedConfig returns the configuration with the service desk divided by key.
func keyedConfig(routes string) string {
	const plain = `"name":"desk",`
	return strings.Replace(config(routes), plain, plain+`"shard_enabled":true,"warm":"3s","grants":"heartbeat",`, 1)
}

// sendKeyed sends requests on random keys to the given daemons in turn, and returns how
// many were sent and how many were served.
func (f *fleet) sendKeyed(daemons []*daemon, d time.Duration) (sent, served int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(keyedInterval) {
		to := daemons[sent%len(daemons)]
		key := rand.IntN(keySpace)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		res := f.send(ctx, to, request{method: http.MethodGet, path: "/lookup/x", timeout: time.Second, key: fmt.Sprint(key)})
		cancel()
		sent++
		if res.status == http.StatusOK && res.signed {
			served++
		}
		f.record.add("client of %s, key %d, gets %s", to.name, key, res)
	}
	return sent, served
}

// playGone lets the machines of a service that is divided by key be lost for good at once,
// and new ones come at other addresses. With TROUBLE=restart the same machines come back,
// which is not the disruption of the case.
func playGone(f *fleet) (string, error) {
	handle := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		if e.keys != nil && !e.keys.holdsKey(r.Header.Get("X-Shard-Key")) {
			refuseKey(w)
			return
		}
		answer(w, r, []byte("ok"))
	}
	add := func(name, zone, service string) {
		f.addHost(name, zone, service, handle)
		f.endpoints[len(f.endpoints)-1].keyed = service == "desk"
	}
	zones := []string{"dallas", "houston", "san-antonio"}
	for i := range 4 {
		add(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i+1), zones[i%3], "desk")
	}
	for i := 4; i < 6; i++ {
		add(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i+1), zones[i%3], "carrier")
	}
	if err := f.start(keyedConfig(keyedRoutes), "/photo/x"); err != nil {
		return "", err
	}
	time.Sleep(contact + 2*time.Second)
	sent, served := f.sendKeyed(f.daemons, measured)
	f.record.add("before: %d of %d requests on keys served", served, sent)
	if served < sent/4 {
		return "", fmt.Errorf("only %d of %d requests served before the disruption", served, sent)
	}
	if f.trouble {
		for i := range 4 {
			f.endpoints[i].crash()
			f.daemons[i].kill()
			f.record.add("machine %s is lost", f.daemons[i].name)
		}
		time.Sleep(goneTime)
		for i := range 4 {
			k := i
			if os.Getenv("TROUBLE") != "restart" {
				add(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i+7), zones[i%3], "desk")
				k = len(f.daemons) - 1
			}
			if err := f.endpoints[k].start(fmt.Sprintf("i-%s-b", f.daemons[k].name)); err != nil {
				return "", err
			}
			f.daemons[k].start(f.root, f.dir)
		}
	}
	time.Sleep(recovery + time.Second)
	up := f.daemons[4:]
	for _, d := range up {
		f.record.add("daemon %s is ready: %v", d.name, d.isReady())
	}
	sent, served = f.sendKeyed(up, measured)
	f.record.add("later than %s after the machines are back: %d of %d requests on keys served", recovery, served, sent)
	if served < sent/4 {
		return fmt.Sprintf("RECOVER: %d of %d requests served that were sent later than %s after the machines were back", served, sent, recovery), nil
	}
	return "", nil
}
