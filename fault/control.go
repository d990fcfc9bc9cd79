package fault

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// Control returns the handler by which tests in other processes give orders:
//
//	GET  /links                                   lists links
//	POST /links?name=&network=&listen=&target=    adds one
//	POST /links/{name}?drop=&cut=&delay=&loss=&way=&from=
//	                                              replaces its rule; without
//	                                              parameters it heals
//	POST /links/{name}/cut                        resets its flows
//	POST /links/{name}/forget                     silences its flows
func (f *Forwarder) Control() http.Handler {
	r := chi.NewRouter()
	r.Get("/links", func(w http.ResponseWriter, _ *http.Request) { f.answer(w, f.Links(), nil) })
	r.Post("/links", f.addLink)
	r.Post("/links/{name}", f.setRule)
	r.Post("/links/{name}/cut", func(w http.ResponseWriter, r *http.Request) {
		f.answer(w, struct{}{}, f.Cut(chi.URLParam(r, "name")))
	})
	r.Post("/links/{name}/forget", func(w http.ResponseWriter, r *http.Request) {
		f.answer(w, struct{}{}, f.Forget(chi.URLParam(r, "name")))
	})
	return r
}

func (f *Forwarder) addLink(w http.ResponseWriter, r *http.Request) {
	l := Link{
		Name:    r.FormValue("name"),
		Network: r.FormValue("network"),
		Listen:  r.FormValue("listen"),
		Target:  r.FormValue("target"),
	}
	var err error
	l.Listen, err = f.Add(l)
	f.answer(w, l, err)
}

func (f *Forwarder) setRule(w http.ResponseWriter, r *http.Request) {
	err := r.ParseForm()
	var rule Rule
	if err == nil {
		rule, err = parseRule(r.Form)
	}
	if err != nil {
		f.answer(w, nil, err)
		return
	}
	name := chi.URLParam(r, "name")
	if source := r.Form.Get("from"); source != "" {
		err = f.SetFrom(name, source, rule)
	} else {
		err = f.Set(name, rule)
	}
	f.answer(w, rule, err)
}

func (f *Forwarder) answer(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, ErrLink):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		f.log.V(1).Info("answer", "error", err)
	}
}
